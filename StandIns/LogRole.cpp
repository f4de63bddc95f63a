#include "StandIns/LogRole.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>

namespace wasabi::standins {

namespace {

constexpr std::size_t MaxRecord = 1u << 20;
constexpr std::uint64_t DefaultMaxRecords = 1000;
/// Maximum size of a read response, which always holds at least one record.
constexpr std::size_t MaxAnswerBytes = 4u << 20;

struct Stream {
  /// Offset of the oldest retained record.
  std::uint64_t First = 0;
  std::deque<std::string> Records;
  std::uint64_t end() const { return First + Records.size(); }
};

/// Returns the stream name in "/v1/streams/NAME/records".
std::optional<std::string> streamName(std::string_view Path) {
  constexpr std::string_view Before = "/v1/streams/";
  constexpr std::string_view After = "/records";
  if (!Path.starts_with(Before) || !Path.ends_with(After) ||
      Path.size() <= Before.size() + After.size())
    return std::nullopt;
  Path.remove_prefix(Before.size());
  Path.remove_suffix(After.size());
  return std::string(Path);
}

boost::json::array recordsOf(const Stream &From, std::uint64_t Begin,
                             std::uint64_t End) {
  boost::json::array records;
  std::size_t bytes = 0;
  for (std::uint64_t i = Begin; i < End && bytes < MaxAnswerBytes; ++i) {
    const std::string &body = From.Records[i - From.First];
    bytes += body.size();
    records.push_back({{"offset", i}, {"body", body}});
  }
  return records;
}

class LogRole final : public Role {
public:
  explicit LogRole(boost::asio::any_io_executor Executor)
      : Role({{"outage", false},
              {"slow_ms", 0},
              {"lose_answers", 0},
              {"retention_records", 0},
              {"stale_tail", 0},
              {"appends_per_s", 0}}),
        Changed(std::move(Executor)) {}

  boost::json::value truth() const override;
  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override;
  void onFaultsChanged() override;

private:
  boost::asio::awaitable<void> append(Stream &Into, const http::Request &Ask,
                                      const ResponderPtr &To);
  boost::asio::awaitable<void> read(Stream &From, const http::Request &Ask,
                                    const ResponderPtr &To);
  bool takeAllowance();
  void trim(Stream &Kept);
  std::uint64_t visibleEnd(const Stream &From) const;

  std::map<std::string, Stream> Streams;
  std::uint64_t Appends = 0;
  Signal Changed;
  /// Appends available under the rate limit, and the time of the last refill.
  double Allowance = 1;
  TimePoint AllowanceAt;
};

boost::json::value LogRole::truth() const {
  boost::json::object streams;
  for (const std::pair<const std::string, Stream> &it : Streams) {
    boost::json::array records(it.second.Records.begin(),
                               it.second.Records.end());
    streams[it.first] = {{"first", it.second.First},
                         {"end", it.second.end()},
                         {"records", std::move(records)}};
  }
  return {{"streams", std::move(streams)}, {"appends", Appends}};
}

boost::asio::awaitable<void> LogRole::answer(const http::Request &Ask,
                                             const ResponderPtr &To) {
  std::optional<std::string> name = streamName(Ask.path());
  if (!name) {
    co_await sendError(To, NotFound, "no such path");
    co_return;
  }
  if (Ask.Method == "POST") {
    co_await append(Streams[*name], Ask, To);
    co_return;
  }
  co_await read(Streams[*name], Ask, To);
}

void LogRole::onFaultsChanged() {
  for (std::pair<const std::string, Stream> &it : Streams)
    trim(it.second);
  Changed.notify();
}

boost::asio::awaitable<void> LogRole::append(Stream &Into,
                                             const http::Request &Ask,
                                             const ResponderPtr &To) {
  if (Ask.Body.size() > MaxRecord) {
    co_await sendError(To, TooLarge, "a record has at most 1 MiB");
    co_return;
  }
  boost::json::error_code ec;
  boost::json::parse(Ask.Body, ec);
  if (ec)
    throw InvalidBody("the record is not JSON: " + ec.message());
  if (!takeAllowance()) {
    co_await sendError(To, TooManyRequests, "too many appends", 1);
    co_return;
  }

  std::uint64_t offset = Into.end();
  Into.Records.push_back(Ask.Body);
  ++Appends;
  trim(Into);
  Changed.notify();
  if (InjectedFaults.consumeOne("lose_answers")) {
    To->abort();
    co_return;
  }
  boost::json::value body = {{"offset", offset}};
  co_await sendJson(To, Created, std::move(body));
}

boost::asio::awaitable<void>
LogRole::read(Stream &From, const http::Request &Ask, const ResponderPtr &To) {
  std::uint64_t from = readQuery(Ask.query("from"), "from", 0);
  std::uint64_t most = readQuery(Ask.query("max"), "max", DefaultMaxRecords);
  std::uint64_t wait = readQuery(Ask.query("wait_ms"), "wait_ms", 0);
  TimePoint deadline = monotonicNow() + Millis(wait);
  while (visibleEnd(From) <= from && monotonicNow() < deadline && !To->gone())
    co_await Changed.wait(deadline);
  if (InjectedFaults.isOn("outage")) {
    To->abort();
    co_return;
  }

  std::uint64_t end = visibleEnd(From);
  if (from < From.First) {
    boost::json::value body = {{"first", From.First}, {"end", end}};
    co_await sendJson(To, Gone, std::move(body));
    co_return;
  }
  std::uint64_t last = from < end ? from + std::min(most, end - from) : from;
  boost::json::value body = {{"first", From.First},
                             {"end", end},
                             {"records", recordsOf(From, from, last)}};
  co_await sendJson(To, Ok, std::move(body));
}

bool LogRole::takeAllowance() {
  constexpr double BurstSeconds = 0.1;
  constexpr double MicrosPerSecond = 1e6;
  double rate = static_cast<double>(InjectedFaults.number("appends_per_s"));
  if (rate == 0)
    return true;
  TimePoint now = monotonicNow();
  double elapsed = static_cast<double>((now - AllowanceAt).count());
  double most = std::max(1.0, rate * BurstSeconds);
  Allowance = std::min(most, Allowance + elapsed / MicrosPerSecond * rate);
  AllowanceAt = now;
  if (Allowance < 1)
    return false;
  Allowance -= 1;
  return true;
}

void LogRole::trim(Stream &Kept) {
  std::uint64_t most = InjectedFaults.number("retention_records");
  while (most > 0 && Kept.Records.size() > most) {
    Kept.Records.pop_front();
    ++Kept.First;
  }
}

std::uint64_t LogRole::visibleEnd(const Stream &From) const {
  std::uint64_t hidden = InjectedFaults.number("stale_tail");
  return From.end() - std::min<std::uint64_t>(hidden, From.Records.size());
}

} // namespace

std::shared_ptr<Role> createLogRole(boost::asio::any_io_executor Executor) {
  return std::make_shared<LogRole>(std::move(Executor));
}

} // namespace wasabi::standins
