#include "Wasabi/Routing/RouteMatch.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace wasabi {
namespace {

namespace json = boost::json;

constexpr std::string_view ServicesPrefix = "/services/";
constexpr std::string_view CompletionsPath = "/v1/completions";
constexpr std::size_t MaxKeyBytes = 255;
constexpr Millis MaxDeadline{24 * 3600 * 1000};

Failure makeBadInput(std::string Place, std::string Reason) {
  return Failure{Verdict::NotRun,
                 FailureCode::BadInput,
                 std::move(Place),
                 std::move(Reason),
                 {}};
}

/// The fields of a completion's body that routing uses.
struct CompletionBody {
  ModelName Model;
  std::string Prompt;
  bool Streamed = false;
};

/// Returns the string member `Name`; empty if it is absent or of another type.
std::string findText(const json::object &Body, std::string_view Name) {
  const json::value *found = Body.if_contains(Name);
  if (!found || !found->is_string())
    return {};
  return std::string(found->get_string());
}

/// Returns an empty value if `Text` is not a JSON object.
std::optional<CompletionBody> parseCompletion(const std::string &Text) {
  boost::system::error_code ec;
  json::value parsed = json::parse(Text, ec);
  if (ec || !parsed.is_object())
    return std::nullopt;
  const json::object &body = parsed.get_object();
  const json::value *stream = body.if_contains("stream");
  bool streamed = stream && stream->is_bool() && stream->get_bool();
  return CompletionBody{ModelName(findText(body, "model")),
                        findText(body, "prompt"), streamed};
}

/// The service named by the path, and the target without that prefix.
struct PathMatch {
  std::string Service;
  std::string Target;
};

PathMatch matchPath(const http::Request &Request) {
  std::string_view target = Request.Target;
  if (!target.starts_with(ServicesPrefix))
    return {"", Request.Target};
  std::string_view rest = target.substr(ServicesPrefix.size());
  std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  std::string_view tail = rest.substr(end);
  std::string stripped = tail.starts_with('/') ? "" : "/";
  stripped += tail;
  return {std::string(rest.substr(0, end)), stripped};
}

/// Returns the engine service that declares `Model`, or null.
const ServiceDeclaration *findServiceOfModel(const Configuration &Declared,
                                             const ModelName &Model) {
  for (const std::pair<const ServiceName, ServiceDeclaration> &it :
       Declared.Services) {
    if (it.second.Kind == ServiceKind::Engines && it.second.Model == Model)
      return &it.second;
  }
  return nullptr;
}

/// Returns `Default` for an empty text, and an empty value if the text is not a
/// number of milliseconds from 1 to `MaxDeadline`.
std::optional<Millis> parseDeadline(std::string_view Text, Millis Default) {
  if (Text.empty())
    return Default;
  std::int64_t count = 0;
  std::from_chars_result read =
      std::from_chars(Text.data(), Text.data() + Text.size(), count);
  if (read.ec != std::errc() || read.ptr != Text.data() + Text.size() ||
      count <= 0 || Millis(count) > MaxDeadline)
    return std::nullopt;
  return Millis(count);
}

Failure makeBadDeadline(std::string_view Text) {
  return makeBadInput(std::string("header ") + DeadlineHeader,
                      "'" + std::string(Text) +
                          "' is not a number of milliseconds from 1 to " +
                          std::to_string(MaxDeadline.count()));
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// Returns true if the request may be sent more than once. A completion has no
/// side effects, so it may be repeated unless a declared route or the caller
/// forbids it.
bool isRepeatable(const ServiceDeclaration &Service,
                  const http::Request &Request, std::string_view Path,
                  bool Completion) {
  if (Request.header(IdempotentHeader) == "false")
    return false;
  bool hasRule = std::any_of(
      Service.Routes.begin(), Service.Routes.end(), [&](const RouteRule &Rule) {
        return (Rule.Method == "*" || Rule.Method == Request.Method) &&
               Path.starts_with(Rule.PathPrefix);
      });
  if (Completion && !hasRule)
    return true;
  return isIdempotent(Service, Request.Method, Path);
}

} // namespace

Outcome<RouteMatch> matchRoute(const Configuration &Declared,
                               const http::Request &Request) {
  PathMatch path = matchPath(Request);
  std::string_view named = Request.header(ServiceHeader);
  std::string name = named.empty() ? path.Service : std::string(named);
  bool completions =
      Request.Method == "POST" && pathOf(path.Target) == CompletionsPath;

  const ServiceDeclaration *service = nullptr;
  if (!name.empty()) {
    std::map<ServiceName, ServiceDeclaration>::const_iterator it =
        Declared.Services.find(ServiceName(name));
    if (it != Declared.Services.end())
      service = &it->second;
  }

  // Parse the body only if the match depends on it.
  CompletionBody body;
  bool engines = service && service->Kind == ServiceKind::Engines;
  if (completions && (engines || name.empty())) {
    std::optional<CompletionBody> read = parseCompletion(Request.Body);
    if (!read)
      return makeBadInput("body", "the request body is not a JSON object");
    body = *std::move(read);
    if (name.empty()) {
      service = findServiceOfModel(Declared, body.Model);
      name = "of model '" + body.Model.Text + "'";
    }
  }
  if (name.empty())
    return makeBadInput("request", "no service is named: expected the header "
                                   "X-Service or the path /services/NAME/");
  if (!service)
    return Failure{Verdict::NotRun,
                   FailureCode::NoUpstream,
                   "service " + name,
                   "the service is not declared",
                   {}};

  std::string_view deadlineText = Request.header(DeadlineHeader);
  std::optional<Millis> deadline =
      parseDeadline(deadlineText, service->DefaultDeadline);
  if (!deadline)
    return makeBadDeadline(deadlineText);
  std::string key(Request.header(IdempotencyKeyHeader));
  if (key.size() > MaxKeyBytes)
    return makeBadInput(std::string("header ") + IdempotencyKeyHeader,
                        "the key is longer than " +
                            std::to_string(MaxKeyBytes) + " bytes");

  RouteMatch match;
  match.Service = service->Name;
  match.Kind = service->Kind;
  match.Target = path.Target;
  match.Completion = completions && service->Kind == ServiceKind::Engines;
  match.Idempotent =
      isRepeatable(*service, Request, pathOf(path.Target), match.Completion);
  match.Key = std::move(key);
  match.Caller = std::string(Request.header(CallerHeader));
  match.Deadline = *deadline;
  match.Streamed = match.Completion && body.Streamed;
  match.Prompt = match.Completion ? std::move(body.Prompt) : std::string();
  return match;
}

} // namespace wasabi
