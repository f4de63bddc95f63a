#include "Wasabi/Adapters/Admin/AdminServer.h"

#include "Wasabi/Adapters/Http/HttpServer.h"
#include "Wasabi/Adapters/Telemetry/TimelineJson.h"
#include "Wasabi/Core/Published.h"
#include "Wasabi/Core/Timeline.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <thread>
#include <vector>

namespace wasabi {
namespace {

namespace asio = boost::asio;

/// Bounds of the listener, whose requests have no body.
constexpr std::uint64_t MaxBodyBytes = 4096;
constexpr std::size_t MaxConnections = 256;
constexpr std::uint64_t MaxHeldBytes = 16u << 20;

http::Response textResponse(unsigned Status, std::string Body) {
  return http::Response{
      Status, {{"Content-Type", "text/plain; charset=utf-8"}}, std::move(Body)};
}

class HttpAdminServer final : public AdminServer {
public:
  explicit HttpAdminServer(Timeline &Events) : Events(Events) {}

  ~HttpAdminServer() override {
    if (!Worker.joinable())
      return;
    asio::post(Context, [this] { Listener->stop(); });
    WorkGuard.reset();
    Worker.join();
  }

  Result<Done> start(Address Listen) {
    http::Server::Settings limits;
    limits.Listen = std::move(Listen);
    limits.MaxBody = MaxBodyBytes;
    limits.MaxConnections = MaxConnections;
    limits.MaxHeldBytes = MaxHeldBytes;
    limits.Memory = PeerMemory::create({MaxHeldBytes, MaxConnections});
    BOOST_LEAF_ASSIGN(
        Listener,
        http::Server::create(
            Context, limits,
            [this](http::Request Req, std::shared_ptr<http::Responder> Reply)
                -> asio::awaitable<void> {
              return handle(std::move(Req), std::move(Reply));
            }));
    BoundAddress = Listener->address();
    Worker = std::thread([this] { Context.run(); });
    return Done{};
  }

  Address address() const override { return BoundAddress; }
  void setSources(AdminSources NewSources) override {
    Sources.set(std::move(NewSources));
  }

private:
  asio::awaitable<void> handle(http::Request Req,
                               std::shared_ptr<http::Responder> Reply) {
    http::Response response = makeResponse(Req);
    co_await Reply->send(std::move(response));
  }

  http::Response makeResponse(const http::Request &Req) {
    std::shared_ptr<const AdminSources> sources = Sources.get();
    std::string_view path = Req.path();
    if (Req.Method != "GET" && Req.Method != "HEAD")
      return textResponse(405, "only GET and HEAD are supported\n");
    if (path == "/healthz")
      return textResponse(200, "alive\n");
    if (path == "/readyz") {
      bool ready = sources->Ready && sources->Ready();
      return ready ? textResponse(200, "ready\n")
                   : textResponse(503, "not ready\n");
    }
    if (path == "/status" && Req.query("brief") == "1")
      return http::jsonResponse(
          200, sources->BriefStatus ? sources->BriefStatus() : "{}");
    if (path == "/status")
      return http::jsonResponse(200, status(*sources));
    if (path == "/metrics")
      return textResponse(200, sources->Metrics ? sources->Metrics() : "");
    if (path == "/timeline")
      return timeline(Req);
    return textResponse(404, "not found; endpoints: /healthz, /readyz, "
                             "/status, /metrics, /timeline\n");
  }

  static std::string status(const AdminSources &Sources) {
    boost::json::object merged;
    if (Sources.Status) {
      for (const std::string &it : Sources.Status()) {
        boost::system::error_code ec;
        boost::json::value part = boost::json::parse(it, ec);
        if (ec || !part.is_object())
          continue;
        for (const boost::json::key_value_pair &member : part.get_object())
          merged.insert_or_assign(member.key(), member.value());
      }
    }
    return boost::json::serialize(merged);
  }

  http::Response timeline(const http::Request &Req) {
    std::string text = Req.query("from");
    std::uint64_t from = 0;
    std::from_chars_result parsed =
        std::from_chars(text.data(), text.data() + text.size(), from);
    if (!text.empty() &&
        (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()))
      return textResponse(400,
                          "from: '" + text + "' is not an unsigned integer\n");
    return http::jsonResponse(
        200, encodeTimelinePage(makeTimelinePage(Events, from)));
  }

  Timeline &Events;
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard{
      Context.get_executor()};
  std::shared_ptr<http::Server> Listener;
  Address BoundAddress;
  Published<AdminSources> Sources;
  std::thread Worker;
};

} // namespace

Result<std::unique_ptr<AdminServer>> AdminServer::create(Address Listen,
                                                         Timeline &Events) {
  std::unique_ptr<HttpAdminServer> server =
      std::make_unique<HttpAdminServer>(Events);
  BOOST_LEAF_CHECK(server->start(std::move(Listen)));
  return std::unique_ptr<AdminServer>(std::move(server));
}

} // namespace wasabi
