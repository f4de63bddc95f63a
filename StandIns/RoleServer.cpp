#include "StandIns/RoleServer.h"

#include <boost/asio/this_coro.hpp>

namespace wasabi::standins {

namespace {

boost::asio::awaitable<void>
answerFaults(Role &Subject, const http::Request &Ask, const ResponderPtr &To) {
  if (Ask.Method == "POST") {
    Subject.InjectedFaults.merge(readObject(Ask.Body));
    Subject.onFaultsChanged();
  }
  co_await sendJson(To, Ok, Subject.InjectedFaults.values());
}

boost::asio::awaitable<void> answerRole(Role &Subject, const http::Request &Ask,
                                        const ResponderPtr &To) {
  const Faults &faults = Subject.InjectedFaults;
  if (faults.knows("slow_ms") && faults.number("slow_ms") > 0)
    co_await sleepFor(faults.millis("slow_ms"));
  if (faults.knows("outage") && faults.isOn("outage")) {
    To->abort();
    co_return;
  }
  co_await Subject.answer(Ask, To);
}

boost::asio::awaitable<void> answerAll(std::shared_ptr<Role> Subject,
                                       http::Request Ask, ResponderPtr To) {
  std::string reason;
  try {
    if (Ask.path() == "/faults")
      co_await answerFaults(*Subject, Ask, To);
    else if (Ask.path() == "/truth")
      co_await sendJson(To, Ok, Subject->truth());
    else
      co_await answerRole(*Subject, Ask, To);
  } catch (const std::exception &Why) {
    reason = Why.what();
  }
  // `co_await` is not allowed in an exception handler.
  if (!reason.empty())
    co_await sendError(To, BadRequest, reason);
}

} // namespace

Result<std::shared_ptr<http::Server>>
serveRole(boost::asio::io_context &Context, const Address &Listen,
          const std::shared_ptr<Role> &Subject) {
  http::Server::Settings limits;
  limits.Listen = Listen;
  return http::Server::create(
      Context, limits, [Subject](http::Request Ask, ResponderPtr To) {
        return answerAll(Subject, std::move(Ask), std::move(To));
      });
}

boost::asio::awaitable<bool> sendJson(const ResponderPtr &To, unsigned Status,
                                      boost::json::value Body) {
  http::Response response =
      http::jsonResponse(Status, boost::json::serialize(Body));
  Outcome<Done> sent = co_await To->send(std::move(response));
  co_return static_cast<bool>(sent);
}

boost::asio::awaitable<void> sendError(const ResponderPtr &To, unsigned Status,
                                       const std::string &Reason,
                                       unsigned RetryAfter) {
  boost::json::object body;
  body["error"] = Reason;
  http::Response response =
      http::jsonResponse(Status, boost::json::serialize(body));
  if (RetryAfter > 0) {
    response.Headers.push_back(
        http::Header{"Retry-After", std::to_string(RetryAfter)});
  }
  co_await To->send(std::move(response));
}

boost::asio::awaitable<void> waitForDisconnect(const ResponderPtr &To) {
  boost::asio::any_io_executor executor =
      co_await boost::asio::this_coro::executor;
  std::shared_ptr<Signal> left = std::make_shared<Signal>(executor);
  To->onGone([left] { left->notify(); });
  while (!To->gone())
    co_await left->wait();
}

} // namespace wasabi::standins
