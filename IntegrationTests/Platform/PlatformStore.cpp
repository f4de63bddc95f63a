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

std::size_t number(const http::Request &Ask, std::string_view Name) {
  std::string text = Ask.query(Name);
  return text.empty() ? 0 : std::stoull(text);
}

void addLength(std::string &To, std::size_t Length) {
  std::uint32_t size =
      boost::endian::native_to_big(static_cast<std::uint32_t>(Length));
  To.append(reinterpret_cast<const char *>(&size), sizeof(size));
}

void addOffset(std::string &To, std::uint64_t Offset) {
  std::uint64_t big = boost::endian::native_to_big(Offset);
  To.append(reinterpret_cast<const char *>(&big), sizeof(big));
}

std::vector<std::string> unframed(std::string_view Body) {
  std::vector<std::string> records;
  while (Body.size() >= 4) {
    std::size_t size = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char *>(Body.data()));
    records.emplace_back(Body.substr(4, size));
    Body.remove_prefix(std::min(Body.size(), size + 4));
  }
  return records;
}

http::Response jsonAnswer(unsigned Status, const json::object &Body) {
  return http::jsonResponse(Status, json::serialize(Body));
}

// A function of its own: GCC 12 takes no initializer lists in coroutines.
http::Response numberAnswer(unsigned Status, std::string_view Key,
                            std::size_t Value) {
  return jsonAnswer(Status, {{Key, Value}});
}

} // namespace

PlatformStore::PlatformStore(asio::io_context &Context)
    : Context(Context), Grown(Context.get_executor()) {
  http::Server::Settings limits;
  Serving = http::Server::create(
                Context, limits,
                [this](http::Request Ask, std::shared_ptr<http::Responder> To) {
                  return handle(std::move(Ask), std::move(To));
                })
                .value();
}

void PlatformStore::write(const std::string &Name, const std::string &Key,
                          const std::optional<std::string> &Value) {
  std::string record(1, static_cast<char>(Key.size()));
  record += Key + Value.value_or("");
  Topics[Name].Records.push_back(std::move(record));
  Grown.notify();
}

std::string PlatformStore::content() const {
  std::string all;
  for (const auto &[name, topic] : Topics) {
    // What the operator writes has the keys in it.
    if (name == "keyed.op")
      continue;
    for (const std::string &it : topic.Records)
      all += it + "\n";
  }
  return all;
}

void PlatformStore::compact(const std::string &Name) {
  Topics[Name].First = Topics[Name].Records.size();
  Grown.notify();
}

asio::awaitable<void>
PlatformStore::handle(http::Request Ask, std::shared_ptr<http::Responder> Out) {
  constexpr Millis VeryLong{60000};
  if (Behavior == StoreBehavior::Unresponsive) {
    co_await pauseFor(Context.get_executor(), VeryLong);
    co_return;
  }
  if (Behavior == StoreBehavior::Reset) {
    Out->abort();
    co_return;
  }
  if (Behavior == StoreBehavior::Busy) {
    co_await Out->send(http::jsonResponse(Busy, "{}"));
    co_return;
  }
  if (Behavior == StoreBehavior::Slow)
    co_await pauseFor(Context.get_executor(), SlowResponseDelay);
  if (Ask.path().ends_with("log-append"))
    co_await append(std::move(Ask), std::move(Out));
  else if (Ask.path().ends_with("log-read"))
    co_await read(std::move(Ask), std::move(Out));
  else
    co_await Out->send(newest(Topics[Ask.query("topic")]));
}

asio::awaitable<void>
PlatformStore::append(http::Request Ask, std::shared_ptr<http::Responder> Out) {
  constexpr Millis VeryLong{60000};
  bool answers = Behavior != StoreBehavior::LosesAnswers &&
                 Behavior != StoreBehavior::Late;
  if (Behavior == StoreBehavior::Late)
    co_await pauseFor(Context.get_executor(), LateAppendDelay);
  std::optional<std::size_t> first = take(Ask);
  if (!answers)
    co_await pauseFor(Context.get_executor(), VeryLong);
  else if (first)
    co_await Out->send(numberAnswer(Ok, "offset", *first));
  else
    co_await Out->send(numberAnswer(PreconditionFailed, "end",
                                    Topics[Ask.query("topic")].Records.size()));
}

/// Appends, unless the topic has to end where it does not; the first offset.
std::optional<std::size_t> PlatformStore::take(const http::Request &Ask) {
  Topic &topic = Topics[Ask.query("topic")];
  std::size_t end = topic.Records.size();
  if (!Ask.query("at").empty() && number(Ask, "at") != end)
    return std::nullopt;
  for (std::string &it : unframed(Ask.Body))
    topic.Records.push_back(std::move(it));
  Grown.notify();
  return end;
}

asio::awaitable<void>
PlatformStore::read(http::Request Ask, std::shared_ptr<http::Responder> Out) {
  Topic &topic = Topics[Ask.query("topic")];
  std::size_t from = number(Ask, "from");
  TimePoint until = monotonicNow() + Millis(number(Ask, "wait_ms"));
  while (from >= topic.First && topic.Records.size() <= from &&
         monotonicNow() < until && !Out->gone())
    co_await Grown.wait(until);
  if (from < topic.First) {
    co_await Out->send(numberAnswer(Gone, "first", topic.First));
    co_return;
  }
  constexpr std::size_t PerKib = 1024;
  std::size_t most = number(Ask, "max_kb") * PerKib;
  http::Response answer;
  addOffset(answer.Body, topic.Records.size());
  addOffset(answer.Body, topic.First);
  for (std::size_t i = from; i < topic.Records.size(); ++i) {
    if (i > from && most > 0 &&
        answer.Body.size() + topic.Records[i].size() > most)
      break;
    addLength(answer.Body, topic.Records[i].size());
    answer.Body += topic.Records[i];
  }
  co_await Out->send(std::move(answer));
}

http::Response PlatformStore::newest(const Topic &Of) const {
  std::map<std::string, json::object> items;
  for (std::size_t i = 0; i < Of.Records.size(); ++i) {
    std::string_view record = Of.Records[i];
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
  return jsonAnswer(Ok, {{"items", std::move(list)},
                         {"has_more", false},
                         {"end", Of.Records.size()}});
}

} // namespace wasabi::test
