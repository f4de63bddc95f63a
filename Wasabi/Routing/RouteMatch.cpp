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
constexpr std::size_t MaxKey = 255;
constexpr Millis MaxDeadline{24 * 3600 * 1000};

Failure refuse(std::string Place, std::string Reason) {
  return Failure{Verdict::NotRun,
                 FailureCode::BadInput,
                 std::move(Place),
                 std::move(Reason),
                 {}};
}

/// What an engine's completion says of itself.
struct CompletionBody {
  ModelName Model;
  std::string Prompt;
  bool Streamed = false;
};

/// The text of a member; empty when absent or of another type.
std::string textMember(const json::object &Body, std::string_view Name) {
  const json::value *found = Body.if_contains(Name);
  if (!found || !found->is_string())
    return {};
  return std::string(found->get_string());
}

/// Empty for what is no JSON object.
std::optional<CompletionBody> readCompletion(const std::string &Text) {
  boost::system::error_code ec;
  json::value parsed = json::parse(Text, ec);
  if (ec || !parsed.is_object())
    return std::nullopt;
  const json::object &body = parsed.get_object();
  const json::value *stream = body.if_contains("stream");
  bool streamed = stream && stream->is_bool() && stream->get_bool();
  return CompletionBody{ModelName(textMember(body, "model")),
                        textMember(body, "prompt"), streamed};
}

/// The path's service and the target without its prefix.
struct PathMatch {
  std::string Service;
  std::string Target;
};

PathMatch matchPath(const http::Request &Ask) {
  std::string_view target = Ask.Target;
  if (!target.starts_with(ServicesPrefix))
    return {"", Ask.Target};
  std::string_view rest = target.substr(ServicesPrefix.size());
  std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
  std::string_view tail = rest.substr(end);
  std::string stripped = tail.starts_with('/') ? "" : "/";
  stripped += tail;
  return {std::string(rest.substr(0, end)), stripped};
}

/// The engines' service that declares a model; null when there is none.
const ServiceDeclaration *serviceOfModel(const Configuration &Declared,
                                         const ModelName &Model) {
  for (const std::pair<const ServiceName, ServiceDeclaration> &it :
       Declared.Services) {
    if (it.second.Kind == ServiceKind::Engines && it.second.Model == Model)
      return &it.second;
  }
  return nullptr;
}

/// Empty for what is no count of milliseconds within bounds.
std::optional<Millis> readDeadline(std::string_view Text, Millis Default) {
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

Failure badDeadline(std::string_view Text) {
  return refuse(std::string("header ") + DeadlineHeader,
                "'" + std::string(Text) +
                    "' is not a count of milliseconds from 1 to " +
                    std::to_string(MaxDeadline.count()));
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

/// A completion runs no effect but its text, so it may be repeated unless a
/// declared rule says otherwise.
bool mayRepeat(const ServiceDeclaration &Service, const http::Request &Ask,
               std::string_view Path, bool Completion) {
  if (Ask.header(IdempotentHeader) == "false")
    return false;
  bool ruled = std::any_of(
      Service.Routes.begin(), Service.Routes.end(), [&](const RouteRule &Rule) {
        return (Rule.Method == "*" || Rule.Method == Ask.Method) &&
               Path.starts_with(Rule.PathPrefix);
      });
  if (Completion && !ruled)
    return true;
  return isIdempotent(Service, Ask.Method, Path);
}

} // namespace

Outcome<RouteMatch> matchRoute(const Configuration &Declared,
                               const http::Request &Ask) {
  PathMatch path = matchPath(Ask);
  std::string_view named = Ask.header(ServiceHeader);
  std::string name = named.empty() ? path.Service : std::string(named);
  bool completions =
      Ask.Method == "POST" && pathOf(path.Target) == CompletionsPath;

  const ServiceDeclaration *service = nullptr;
  if (!name.empty()) {
    std::map<ServiceName, ServiceDeclaration>::const_iterator it =
        Declared.Services.find(ServiceName(name));
    if (it != Declared.Services.end())
      service = &it->second;
  }

  // The body is read only where it decides something.
  CompletionBody body;
  bool engines = service && service->Kind == ServiceKind::Engines;
  if (completions && (engines || name.empty())) {
    std::optional<CompletionBody> read = readCompletion(Ask.Body);
    if (!read)
      return refuse("body", "it is not a JSON object");
    body = *std::move(read);
    if (name.empty()) {
      service = serviceOfModel(Declared, body.Model);
      name = "of model '" + body.Model.Text + "'";
    }
  }
  if (name.empty())
    return refuse("request", "it names no service: neither the header "
                             "X-Service nor the path /services/NAME/ is there");
  if (!service)
    return Failure{Verdict::NotRun,
                   FailureCode::NoUpstream,
                   "service " + name,
                   "it is not declared",
                   {}};

  std::string_view asked = Ask.header(DeadlineHeader);
  std::optional<Millis> deadline =
      readDeadline(asked, service->DefaultDeadline);
  if (!deadline)
    return badDeadline(asked);
  std::string key(Ask.header(KeyHeader));
  if (key.size() > MaxKey)
    return refuse(std::string("header ") + KeyHeader,
                  "it is longer than " + std::to_string(MaxKey) + " bytes");

  RouteMatch match;
  match.Service = service->Name;
  match.Kind = service->Kind;
  match.Target = path.Target;
  match.Completion = completions && service->Kind == ServiceKind::Engines;
  match.Idempotent =
      mayRepeat(*service, Ask, pathOf(path.Target), match.Completion);
  match.Key = std::move(key);
  match.Caller = std::string(Ask.header(CallerHeader));
  match.Deadline = *deadline;
  match.Streamed = match.Completion && body.Streamed;
  match.Prompt = match.Completion ? std::move(body.Prompt) : std::string();
  return match;
}

} // namespace wasabi
