#include "Wasabi/Adapters/Proxy/EngineApi.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace wasabi {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;

std::uint64_t readCount(const json::object &Object, std::string_view Name) {
  const json::value *found = Object.if_contains(Name);
  if (!found)
    return 0;
  boost::system::error_code ec;
  std::uint64_t count = found->to_number<std::uint64_t>(ec);
  return ec ? 0 : count;
}

bool readFlag(const json::object &Object, std::string_view Name) {
  const json::value *found = Object.if_contains(Name);
  return found && found->is_bool() && found->get_bool();
}

http::Request jsonRequest(std::string Method, std::string Target,
                          std::string Body) {
  http::Request request;
  request.Method = std::move(Method);
  request.Target = std::move(Target);
  request.Headers = {{"Content-Type", "application/json"}};
  request.Body = std::move(Body);
  return request;
}

} // namespace

Outcome<EngineStatus> parseEngineState(std::string_view Text) {
  boost::system::error_code ec;
  json::value parsed = json::parse(Text, ec);
  if (ec || !parsed.is_object())
    return Failure{Verdict::NotRun,
                   FailureCode::BadInput,
                   "engine state",
                   "the report is not a JSON object",
                   {}};
  const json::object &object = parsed.get_object();
  EngineStatus state;
  const json::value *model = object.if_contains("model");
  if (model && model->is_string())
    state.Model = ModelName(std::string(model->get_string()));
  state.Version = readCount(object, "version");
  state.Running = static_cast<std::uint32_t>(readCount(object, "running"));
  state.Queued = static_cast<std::uint32_t>(readCount(object, "queued"));
  state.Slots = static_cast<std::uint32_t>(readCount(object, "slots"));
  state.Fence = readCount(object, "fence");
  state.ChecksFences = readFlag(object, "checks_fences");
  state.Draining = readFlag(object, "draining");
  return state;
}

asio::awaitable<Outcome<EngineStatus>>
readEngineState(http::Client &Client, Address Where, Millis Timeout) {
  http::Request request = jsonRequest("GET", "/v1/state", "");
  Outcome<http::Response> response =
      co_await Client.call(std::move(Where), std::move(request), Timeout);
  if (!response)
    co_return response.failure();
  if (response->Status != StatusOk)
    co_return Failure{Verdict::NotRun,
                      FailureCode::Unavailable,
                      "engine state",
                      "status " + std::to_string(response->Status),
                      {}};
  co_return parseEngineState(response->Body);
}

asio::awaitable<Outcome<Done>> sendLoadOrder(http::Client &Client,
                                             Address Where, Order LoadOrder,
                                             Millis Timeout) {
  json::object body;
  body["fence"] = LoadOrder.Token;
  body["order"] = "load";
  body["model"] = LoadOrder.Model.Text;
  body["version"] = LoadOrder.Version;
  http::Request request =
      jsonRequest("POST", "/v1/orders", json::serialize(body));
  Outcome<http::Response> response =
      co_await Client.call(std::move(Where), std::move(request), Timeout);
  if (!response)
    co_return response.failure();
  if (response->Status == StatusConflict)
    co_return Failure{Verdict::NotRun,
                      FailureCode::StaleFence,
                      LoadOrder.Resource,
                      "the engine holds a newer token",
                      {}};
  if (response->Status != StatusOk)
    co_return Failure{Verdict::MayHaveRun,
                      FailureCode::Unavailable,
                      "order to " + LoadOrder.Server.Text,
                      "status " + std::to_string(response->Status),
                      {}};
  co_return Done{};
}

std::string setRequestPriority(const std::string &Body, std::int32_t Priority) {
  boost::system::error_code ec;
  json::value parsed = json::parse(Body, ec);
  if (ec || !parsed.is_object())
    return Body;
  parsed.get_object()["priority"] = Priority;
  return json::serialize(parsed);
}

} // namespace wasabi
