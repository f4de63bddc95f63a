#include "UnitTests/Node/FakePlatform.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace wasabi {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;
constexpr std::chrono::milliseconds PollInterval(5);

std::uint64_t number(const std::string &Text) {
  return Text.empty() ? 0 : std::stoull(Text);
}

} // namespace

FakePlatform::FakePlatform() {
  http::Server::Settings limits;
  Outcome<std::shared_ptr<http::Server>> made =
      toOutcome<std::shared_ptr<http::Server>>([&]() {
        return http::Server::create(
            Context, limits,
            [this](http::Request Request,
                   std::shared_ptr<http::Responder> Answer) {
              return handle(std::move(Request), std::move(Answer));
            });
      });
  if (!made)
    throw std::runtime_error(describe(made.failure()));
  Server = *made;
  Bound = Server->address();
  Thread = std::thread([this]() { Context.run(); });
}

FakePlatform::~FakePlatform() {
  asio::post(Context, [this]() {
    Server->stop();
    Context.stop();
  });
  Thread.join();
}

std::vector<std::string> FakePlatform::records() const {
  std::lock_guard<std::mutex> lock(Guard);
  return Records;
}

Offset FakePlatform::first() const {
  std::lock_guard<std::mutex> lock(Guard);
  return First;
}

void FakePlatform::retainNewest(std::size_t Count) {
  std::lock_guard<std::mutex> lock(Guard);
  if (Records.size() > Count)
    First = std::max<Offset>(First, Records.size() - Count);
}

void FakePlatform::unlist(const std::string &Name) {
  std::lock_guard<std::mutex> lock(Guard);
  std::erase_if(Listed, [&](const auto &it) { return it.first == Name; });
}

asio::awaitable<void>
FakePlatform::handle(http::Request Request,
                     std::shared_ptr<http::Responder> Answer) {
  if (Request.path() == "/v1/instances") {
    if (Request.Method == "POST")
      announce(Request.Body);
    http::Response list = http::jsonResponse(200, listJson());
    co_await Answer->send(std::move(list));
    co_return;
  }
  if (Outage.load()) {
    Answer->abort();
    co_return;
  }
  if (Request.Method == "POST")
    co_await append(Request, *Answer);
  else
    co_await read(Request, *Answer);
}

asio::awaitable<void> FakePlatform::append(const http::Request &Request,
                                           http::Responder &Answer) {
  Offset at = 0;
  {
    std::lock_guard<std::mutex> lock(Guard);
    at = Records.size();
    Records.push_back(Request.Body);
  }
  if (AppendAnswersToLose.load() > 0) {
    AppendAnswersToLose.fetch_sub(1);
    Answer.abort();
    co_return;
  }
  json::object body;
  body["offset"] = at;
  http::Response done = http::jsonResponse(201, json::serialize(body));
  co_await Answer.send(std::move(done));
}

asio::awaitable<void> FakePlatform::read(const http::Request &Request,
                                         http::Responder &Answer) {
  Reads.fetch_add(1);
  Offset from = number(Request.query("from"));
  std::size_t max = number(Request.query("max"));
  std::chrono::milliseconds wait(number(Request.query("wait_ms")));
  std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + wait;
  BootTimer timer(co_await asio::this_coro::executor);
  bool expired = false;
  bool empty = false;
  std::string body = rangeJson(from, max, expired, empty);
  while (empty && !expired && !Outage.load() && !Answer.gone() &&
         std::chrono::steady_clock::now() < until) {
    timer.expires_after(PollInterval);
    co_await timer.async_wait(Awaited);
    body = rangeJson(from, max, expired, empty);
  }
  if (Outage.load()) {
    Answer.abort();
    co_return;
  }
  http::Response done = http::jsonResponse(expired ? 410 : 200, body);
  co_await Answer.send(std::move(done));
}

std::string FakePlatform::rangeJson(Offset From, std::size_t Max, bool &Expired,
                                    bool &Empty) const {
  std::lock_guard<std::mutex> lock(Guard);
  Offset end = Records.size() - std::min(Records.size(), HideNewest.load());
  Expired = From < First;
  json::array lines;
  for (Offset n = From; !Expired && n < end && lines.size() < Max; ++n) {
    json::object line;
    line["offset"] = n;
    line["body"] = Records[n];
    lines.push_back(std::move(line));
  }
  Empty = lines.empty();
  json::object body;
  body["first"] = First;
  body["end"] = end;
  if (!Expired)
    body["records"] = std::move(lines);
  return json::serialize(body);
}

std::string FakePlatform::listJson() const {
  std::lock_guard<std::mutex> lock(Guard);
  json::array lines;
  for (const auto &[name, body] : Listed)
    lines.push_back(json::parse(body));
  json::object whole;
  whole["as_of_us"] = 0;
  whole["instances"] = std::move(lines);
  return json::serialize(whole);
}

void FakePlatform::announce(const std::string &Body) {
  if (ListFrozen.load())
    return;
  std::string name(json::parse(Body).at("name").as_string());
  std::lock_guard<std::mutex> lock(Guard);
  std::erase_if(Listed, [&](const auto &it) { return it.first == name; });
  Listed.emplace_back(name, Body);
}

} // namespace wasabi
