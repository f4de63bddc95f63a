#include "IntegrationTests/Platform/PlatformStore.h"

#include "Wasabi/Core/Base64.h"

#include <boost/endian/conversion.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace wasabi::test {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned Gone = 410;
constexpr unsigned PreconditionFailed = 412;
constexpr unsigned Busy = 503;

std::size_t queryNumber(const http::Request &Request,
                        std::string_view Parameter) {
  std::string text = Request.query(Parameter);
  return text.empty() ? 0 : std::stoull(text);
}

void addLength(std::string &Buffer, std::size_t Length) {
  std::uint32_t size =
      boost::endian::native_to_big(static_cast<std::uint32_t>(Length));
  Buffer.append(reinterpret_cast<const char *>(&size), sizeof(size));
}

void addOffset(std::string &Buffer, std::uint64_t Offset) {
  std::uint64_t big = boost::endian::native_to_big(Offset);
  Buffer.append(reinterpret_cast<const char *>(&big), sizeof(big));
}

std::vector<std::string> parseFrames(std::string_view Body) {
  std::vector<std::string> records;
  while (Body.size() >= 4) {
    std::size_t size = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char *>(Body.data()));
    records.emplace_back(Body.substr(4, size));
    Body.remove_prefix(std::min(Body.size(), size + 4));
  }
  return records;
}

http::Response makeJsonResponse(unsigned Status, const json::object &Body) {
  return http::jsonResponse(Status, json::serialize(Body));
}

// A separate function, because GCC 12 rejects initializer lists in coroutines.
http::Response makeNumberResponse(unsigned Status, std::string_view Key,
                                  std::size_t Value) {
  return makeJsonResponse(Status, {{Key, Value}});
}

} // namespace

PlatformStore::PlatformStore(asio::io_context &Context)
    : Context(Context), Appended(Context.get_executor()) {
  http::Server::Settings limits;
  HttpServer = http::Server::create(
                   Context, limits,
                   [this](http::Request Request,
                          std::shared_ptr<http::Responder> Responder) {
                     return handle(std::move(Request), std::move(Responder));
                   })
                   .value();
}

void PlatformStore::write(const std::string &TopicName, const std::string &Key,
                          const std::optional<std::string> &Value) {
  std::string record(1, static_cast<char>(Key.size()));
  record += Key + Value.value_or("");
  Topics[TopicName].Records.push_back(std::move(record));
  Appended.notify();
}

std::string PlatformStore::content() const {
  std::string all;
  for (const auto &[name, topic] : Topics) {
    // The operator's records contain the keys.
    if (name == "keyed.op")
      continue;
    for (std::size_t i = FirstOffset; i < topic.Records.size(); ++i)
      all += topic.Records[i] + "\n";
  }
  return all;
}

void PlatformStore::compact(const std::string &TopicName) {
  Topics[TopicName].First = Topics[TopicName].Records.size();
  Appended.notify();
}

asio::awaitable<void>
PlatformStore::handle(http::Request Request,
                      std::shared_ptr<http::Responder> Responder) {
  constexpr Millis HangTime{60000};
  if (Behavior == StoreBehavior::Unresponsive) {
    co_await pauseFor(Context.get_executor(), HangTime);
    co_return;
  }
  if (Behavior == StoreBehavior::Reset) {
    Responder->abort();
    co_return;
  }
  if (Behavior == StoreBehavior::Busy) {
    co_await Responder->send(http::jsonResponse(Busy, "{}"));
    co_return;
  }
  if (Behavior == StoreBehavior::Slow)
    co_await pauseFor(Context.get_executor(), SlowResponseDelay);
  if (Request.path().ends_with("log-append"))
    co_await append(std::move(Request), std::move(Responder));
  else if (Request.path().ends_with("log-read"))
    co_await read(std::move(Request), std::move(Responder));
  else
    co_await Responder->send(newestRecords(Topics[Request.query("topic")]));
}

asio::awaitable<void>
PlatformStore::append(http::Request Request,
                      std::shared_ptr<http::Responder> Responder) {
  constexpr Millis HangTime{60000};
  bool answers = Behavior != StoreBehavior::LosesAnswers &&
                 Behavior != StoreBehavior::Late;
  if (Behavior == StoreBehavior::Late)
    co_await pauseFor(Context.get_executor(), LateAppendDelay);
  std::optional<std::size_t> first = appendRecords(Request);
  if (!answers)
    co_await pauseFor(Context.get_executor(), HangTime);
  else if (first)
    co_await Responder->send(makeNumberResponse(Ok, "offset", *first));
  else
    co_await Responder->send(
        makeNumberResponse(PreconditionFailed, "end",
                           Topics[Request.query("topic")].Records.size()));
}

/// Appends records, unless the topic does not end at the expected offset.
/// Returns the first offset.
std::optional<std::size_t>
PlatformStore::appendRecords(const http::Request &Request) {
  Topic &topic = Topics[Request.query("topic")];
  std::size_t end = topic.Records.size();
  if (!Request.query("at").empty() && queryNumber(Request, "at") != end)
    return std::nullopt;
  for (std::string &it : parseFrames(Request.Body))
    topic.Records.push_back(std::move(it));
  Appended.notify();
  return end;
}

asio::awaitable<void>
PlatformStore::read(http::Request Request,
                    std::shared_ptr<http::Responder> Responder) {
  Topic &topic = Topics[Request.query("topic")];
  std::size_t from = queryNumber(Request, "from");
  if (queryNumber(Request, "wait_ms") > 0 &&
      LosesReadOf == Request.query("topic")) {
    constexpr Millis HangTime{60000};
    LosesReadOf.clear();
    co_await pauseFor(Context.get_executor(), HangTime);
    co_return;
  }
  TimePoint until = monotonicNow() + Millis(queryNumber(Request, "wait_ms"));
  while (from >= topic.First && topic.Records.size() <= from &&
         monotonicNow() < until && !Responder->gone())
    co_await Appended.wait(until);
  if (from < topic.First) {
    co_await Responder->send(makeNumberResponse(Gone, "first", topic.First));
    co_return;
  }
  constexpr std::size_t PerKib = 1024;
  std::size_t maxBytes = queryNumber(Request, "max_kb") * PerKib;
  http::Response answer;
  addOffset(answer.Body, topic.Records.size());
  addOffset(answer.Body, topic.First);
  for (std::size_t i = from; i < topic.Records.size(); ++i) {
    if (i > from && maxBytes > 0 &&
        answer.Body.size() + topic.Records[i].size() > maxBytes)
      break;
    addLength(answer.Body, topic.Records[i].size());
    answer.Body += topic.Records[i];
  }
  co_await Responder->send(std::move(answer));
}

http::Response PlatformStore::newestRecords(const Topic &Source) const {
  std::map<std::string, json::object> items;
  for (std::size_t i = FirstOffset; i < Source.Records.size(); ++i) {
    std::string_view record = Source.Records[i];
    std::size_t size = static_cast<unsigned char>(record.front());
    std::string key(record.substr(1, size));
    std::string_view value = record.substr(1 + size);
    items.erase(key);
    if (!value.empty())
      items[key] = {
          {"key", key}, {"value", encodeBase64(value)}, {"offset", i}};
  }
  json::array list;
  for (auto &[key, item] : items)
    list.push_back(item);
  return makeJsonResponse(Ok, {{"items", std::move(list)},
                               {"has_more", false},
                               {"end", Source.Records.size()}});
}

} // namespace wasabi::test
