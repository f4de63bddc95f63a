#include "StandIns/ServiceRole.h"

#include "StandIns/TokenText.h"

#include <deque>

namespace wasabi::standins {

namespace {

/// Maximum number of run records kept; older ones are dropped and counted.
constexpr std::size_t MaxRuns = 200000;

/// One executed request.
struct Run {
  std::string Request;
  std::string Method;
  std::string Path;
  std::string Body;
  std::uint64_t StartedUs = 0;
  std::uint64_t EndedUs = 0;
  bool Answered = false;
};

class ServiceRole final : public Role {
public:
  ServiceRole(boost::asio::any_io_executor Executor, ServiceSettings Settings)
      : Role({{"slow_ms", 0},
              {"hang", false},
              {"reset_before_answer", 0},
              {"reset_mid_answer", 0},
              {"status", 0}}),
        Settings(std::move(Settings)), Freed(std::move(Executor)) {}

  boost::json::value truth() const override;
  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override;

private:
  boost::asio::awaitable<bool> takeSlot(const ResponderPtr &To);
  boost::asio::awaitable<bool> sendAnswer(const http::Request &Ask,
                                          const ResponderPtr &To,
                                          std::uint64_t Count);
  boost::json::object bodyFor(const http::Request &Ask,
                              std::uint64_t Count) const;

  const ServiceSettings Settings;
  std::deque<std::shared_ptr<Run>> Runs;
  /// Number of runs in this process, including dropped records.
  std::uint64_t Count = 0;
  std::uint64_t Busy = 0;
  Signal Freed;
};

boost::json::value ServiceRole::truth() const {
  boost::json::array runs;
  for (const std::shared_ptr<Run> &it : Runs) {
    runs.push_back({{"request", it->Request},
                    {"method", it->Method},
                    {"path", it->Path},
                    {"body", it->Body},
                    {"started_us", it->StartedUs},
                    {"ended_us", it->EndedUs},
                    {"answered", it->Answered}});
  }
  return {{"runs", std::move(runs)}, {"dropped", Count - Runs.size()}};
}

boost::asio::awaitable<bool> ServiceRole::takeSlot(const ResponderPtr &To) {
  while (Settings.Slots > 0 && Busy >= Settings.Slots) {
    if (To->gone())
      co_return false;
    co_await Freed.wait();
  }
  ++Busy;
  co_return true;
}

boost::asio::awaitable<void> ServiceRole::answer(const http::Request &Ask,
                                                 const ResponderPtr &To) {
  if (InjectedFaults.isOn("hang")) {
    co_await waitForDisconnect(To);
    co_return;
  }
  To->onGone([this] { Freed.notify(); });
  if (!co_await takeSlot(To))
    co_return;

  std::shared_ptr<Run> run = std::make_shared<Run>(
      Run{std::string(Ask.header("X-Request-Id")), Ask.Method,
          std::string(Ask.path()), Ask.Body, wallMicros(), 0, false});
  Runs.push_back(run);
  std::uint64_t count = ++Count;
  if (Runs.size() > MaxRuns)
    Runs.pop_front();
  if (Settings.Latency > Millis(0))
    co_await sleepFor(Settings.Latency);
  run->EndedUs = wallMicros();
  --Busy;
  Freed.notify();
  run->Answered = co_await sendAnswer(Ask, To, count);
}

boost::asio::awaitable<bool> ServiceRole::sendAnswer(const http::Request &Ask,
                                                     const ResponderPtr &To,
                                                     std::uint64_t Count) {
  if (InjectedFaults.consumeOne("reset_before_answer")) {
    To->abort();
    co_return false;
  }
  boost::json::object body = bodyFor(Ask, Count);
  std::uint64_t told = InjectedFaults.number("status");
  unsigned status = told == 0 ? unsigned{Ok} : static_cast<unsigned>(told);
  if (!InjectedFaults.consumeOne("reset_mid_answer"))
    co_return co_await sendJson(To, status, std::move(body));

  std::string text = boost::json::serialize(body);
  http::Response head = http::jsonResponse(status, "");
  co_await To->begin(std::move(head));
  co_await To->write(text.substr(0, text.size() / 2));
  To->abort();
  co_return false;
}

boost::json::object ServiceRole::bodyFor(const http::Request &Ask,
                                         std::uint64_t Count) const {
  boost::json::object body;
  body["service"] = Settings.Name;
  body["method"] = Ask.Method;
  body["path"] = std::string(Ask.path());
  body["body_hash"] = hashText(Ask.Body);
  body["run"] = Count;
  return body;
}

} // namespace

std::shared_ptr<Role> createServiceRole(boost::asio::any_io_executor Executor,
                                        ServiceSettings Settings) {
  return std::make_shared<ServiceRole>(std::move(Executor),
                                       std::move(Settings));
}

} // namespace wasabi::standins
