#include "IntegrationTests/Platform/PlatformServers.h"

#include "Wasabi/Adapters/Http/HttpWire.h"
#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Core/BootTimer.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace wasabi::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned AcceptedStatus = 202;
constexpr unsigned Conflict = 409;
constexpr unsigned Misdirected = 421;
constexpr unsigned InternalError = 500;
constexpr unsigned Unavailable = 503;

http::Header echoRequestId(const http::Request &Request) {
  return {"Wasabisail-Request-Id",
          std::string(Request.header("Wasabisail-Request-Id"))};
}

void recordCustomer(ServerCall &Call, const http::Request &Request) {
  for (const http::Header &it : Request.Headers) {
    if (http::isSameHeaderName(it.Name, "Wasabisail-Key"))
      Call.KeyForwarded = true;
    if (!http::isSameHeaderName(it.Name, "Wasabisail-Tenant"))
      continue;
    Call.Customer = it.Value;
    ++Call.CustomerHeaderCount;
  }
}

json::array modelList(const std::map<std::string, std::uint64_t> &Models) {
  json::array list;
  for (const auto &[name, version] : Models)
    list.push_back(
        {{"name", name}, {"version", version}, {"adapters", json::array()}});
  return list;
}

} // namespace

PlatformServer::PlatformServer(asio::io_context &Context, std::string Id)
    : Context(Context), Id(std::move(Id)) {
  listenAt(Address{"127.0.0.1", 0});
}

void PlatformServer::listenAt(const Address &Where) {
  // Servers take the largest body that edge processes forward.
  constexpr std::uint64_t MaxBodyBytes = 64u << 20;
  http::Server::Settings limits;
  limits.Listen = Where;
  limits.MaxBody = MaxBodyBytes;
  HttpServer = http::Server::create(
                   Context, limits,
                   [this](http::Request Request,
                          std::shared_ptr<http::Responder> Responder) {
                     return handle(std::move(Request), std::move(Responder));
                   })
                   .value();
}

asio::awaitable<void>
PlatformServer::crash(std::shared_ptr<http::Responder> Responder) {
  std::string previousId = Id;
  Address listenAddress = address();
  ++Crashes;
  restart(previousId + "+");
  if (ListenerCloseDelay > Millis(0)) {
    Crashing = true;
    Responder->abort();
    co_await pauseFor(Context.get_executor(), ListenerCloseDelay);
    Crashing = false;
  }
  HttpServer->stop();
  co_await pauseFor(Context.get_executor(), CrashDownTime);
  listenAt(listenAddress);
  if (OnRestarted)
    OnRestarted(previousId);
}

std::string PlatformServer::registration(const std::string &Service,
                                         bool Draining) const {
  json::object fields{{"service", Service},
                      {"address", toText(publicAddress())},
                      {"zone", "hall"},
                      {"version", "v1"},
                      {"slots", 4},
                      {"state", Draining ? "draining" : "ready"},
                      {"cold_remaining_ms", 0},
                      {"models", modelList(Models)},
                      {"sequence", 1}};
  if (StartTimeMs > 0)
    fields["born"] = StartTimeMs;
  return json::serialize(fields);
}

http::Response PlatformServer::report() const {
  json::object fields{{"stage", "both"},  {"models", modelList(Models)},
                      {"busy", Loading},  {"sequence", Accepted},
                      {"num_waiting", 0}, {"num_running", 0}};
  if (StartTimeMs > 0)
    fields["born"] = StartTimeMs;
  return http::jsonResponse(Ok, json::serialize(fields));
}

void PlatformServer::restart(std::string NewId) {
  Id = std::move(NewId);
  ++Incarnation;
  if (StartTimeMs > 0)
    StartTimeMs = std::max(StartTimeMs + 1, wallMicros() / 1000);
  Accepted = 0;
  Loading = false;
}

std::uint64_t PlatformServer::eventCount(const std::string &Item) const {
  return ExtraEvents == 0
             ? MinEvents
             : MinEvents + std::hash<std::string>()(Item) % ExtraEvents;
}

http::Response PlatformServer::acceptOrder(const http::Request &Request) {
  json::value body = json::parse(Request.Body);
  ServerCall call;
  call.At = monotonicNow();
  call.Server = Id;
  call.Holder = json::value_to<std::string>(body.at("holder"));
  call.Token = body.at("fencing_token").to_number<std::uint64_t>();
  Orders.push_back(call);
  const json::value *expect = body.as_object().if_contains("expect");
  if (expect != nullptr && expect->to_number<std::uint64_t>() != Accepted)
    return http::jsonResponse(Conflict, "{}");
  if (Loading)
    return http::jsonResponse(Conflict, "{}");
  ++Accepted;
  Loading = true;
  std::shared_ptr<BootTimer> timer =
      std::make_shared<BootTimer>(Context, LoadTime);
  timer->async_wait([this, timer, body,
                     incarnation = Incarnation](boost::system::error_code) {
    if (incarnation != Incarnation)
      return;
    Loading = false;
    Models[json::value_to<std::string>(body.at("model"))] =
        body.at("version").to_number<std::uint64_t>();
  });
  return http::jsonResponse(AcceptedStatus, "{}");
}

std::string PlatformServer::eventText(const std::string &Item,
                                      std::uint64_t Number,
                                      std::uint64_t Version) const {
  std::string text = Item + ":" + std::to_string(Number);
  return IncludesVersion ? text + ":v" + std::to_string(Version) : text;
}

asio::awaitable<void>
PlatformServer::handle(http::Request Request,
                       std::shared_ptr<http::Responder> Responder) {
  std::string_view expected = Request.header("Wasabisail-Expect-Instance");
  http::Response answer;
  if (Crashing) {
    while (Crashing)
      co_await pauseFor(Context.get_executor(), EventDelay);
    Responder->abort();
    co_return;
  }
  if (Request.path() == "/api/report") {
    co_await Responder->send(report());
    co_return;
  }
  if (!expected.empty() && expected != Id) {
    answer.Status = Misdirected;
    co_await Responder->send(std::move(answer));
    co_return;
  }
  if (Request.path() == "/api/order") {
    co_await Responder->send(acceptOrder(Request));
    co_return;
  }
  if (RefusesAsFull || (Slots > 0 && Running >= Slots)) {
    answer.Status = Unavailable;
    answer.Headers.push_back({"Wasabisail-Not-Executed", "1"});
    answer.Headers.push_back(echoRequestId(Request));
    co_await Responder->send(std::move(answer));
    co_return;
  }
  ServerCall call;
  call.At = monotonicNow();
  call.Server = Id;
  call.Id = std::string(Request.header("Wasabisail-Request-Id"));
  call.Path = Request.Target;
  call.Body = Request.Body;
  call.ResumeAfter = std::string(Request.header("Last-Event-Id"));
  recordCustomer(call, Request);
  Runs.push_back(call);
  bool crashes = !CrashMarker.empty() &&
                 (Request.Target.find(CrashMarker) != std::string::npos ||
                  Request.Body.find(CrashMarker) != std::string::npos);
  if (crashes) {
    std::uint64_t incarnation = Incarnation;
    co_await pauseFor(Context.get_executor(), EventDelay);
    // Another crashing request may have crashed the server meanwhile.
    if (incarnation == Incarnation)
      asio::co_spawn(
          Context, [this, Responder] { return crash(Responder); },
          asio::detached);
    else
      Responder->abort();
    co_return;
  }
  if (AnswersWithoutEnd) {
    answer.Headers.push_back(echoRequestId(Request));
    answer.Headers.push_back({"Wasabisail-Server-Stamp", "stamp-" + call.Id});
    co_await sendWithoutEnd(std::move(answer), std::move(Responder));
    co_return;
  }
  if (RequestsToFail > 0) {
    --RequestsToFail;
    answer.Status = InternalError;
    answer.Headers.push_back(echoRequestId(Request));
    answer.Headers.push_back({"Wasabisail-Server-Stamp", "stamp-" + call.Id});
    co_await Responder->send(std::move(answer));
    co_return;
  }
  ++Running;
  if (!Models.empty()) {
    co_await generate(std::move(Request), std::move(Responder));
    --Running;
    co_return;
  }
  std::uint64_t incarnation = Incarnation;
  TimePoint until = monotonicNow() + EventDelay;
  // A server drops a request whose connection was closed.
  while (monotonicNow() < until && !Responder->gone())
    co_await pauseFor(Context.get_executor(),
                      std::min(Millis(10), std::chrono::ceil<Millis>(
                                               until - monotonicNow())));
  --Running;
  if (incarnation != Incarnation || Responder->gone()) {
    Responder->abort();
    co_return;
  }
  answer.Headers.push_back(echoRequestId(Request));
  answer.Headers.push_back({"Wasabisail-Server-Stamp", "stamp-" + call.Id});
  answer.Body = "answer to " + call.Id;
  co_await Responder->send(std::move(answer));
}

/// Sends the head of a response, and a body until the caller closes.
asio::awaitable<void>
PlatformServer::sendWithoutEnd(http::Response Head,
                               std::shared_ptr<http::Responder> Responder) {
  constexpr std::size_t PieceBytes = 1u << 16;
  co_await Responder->begin(std::move(Head));
  while (!Responder->gone()) {
    std::string piece(PieceBytes, 'x');
    Outcome<Done> sent = co_await Responder->write(std::move(piece));
    if (!sent)
      co_return;
    co_await pauseFor(Context.get_executor(), Millis(0));
  }
}

asio::awaitable<void>
PlatformServer::generate(http::Request Request,
                         std::shared_ptr<http::Responder> Responder) {
  std::string model(Request.header("Wasabisail-Model"));
  std::string id(Request.header("Wasabisail-Request-Id"));
  std::string after(Request.header("Last-Event-Id"));
  std::uint64_t next = after.empty() ? 0 : std::stoull(after);
  std::uint64_t version = Models[model];
  http::Response head;
  head.Headers.push_back({"Content-Type", "text/event-stream"});
  head.Headers.push_back(echoRequestId(Request));
  head.Headers.push_back({"Wasabisail-Server-Stamp", "stamp-" + id});
  head.Headers.push_back(
      {"Wasabisail-Weight-Versions", std::to_string(version)});
  co_await Responder->begin(std::move(head));
  std::uint64_t incarnation = Incarnation;
  std::uint64_t length = eventCount(id);
  bool breaks = StreamsToBreak > 0;
  StreamsToBreak -= breaks ? 1 : 0;
  for (std::uint64_t sent = 0; next < length && !Responder->gone(); ++sent) {
    co_await pauseFor(Context.get_executor(), EventDelay);
    if (incarnation != Incarnation || (breaks && sent == 2)) {
      Responder->abort();
      co_return;
    }
    std::string event;
    if (Models[model] != version) {
      version = Models[model];
      event = "wasabisail-weight-versions: " + std::to_string(version) + "\n";
    }
    ++next;
    event += "id: " + std::to_string(next) +
             "\ndata: " + eventText(id, next, version) + "\n\n";
    co_await Responder->write(std::move(event));
  }
  if (!Responder->gone())
    co_await Responder->end();
}

} // namespace wasabi::test
