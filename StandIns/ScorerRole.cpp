#include "StandIns/ScorerRole.h"

#include <xxhash.h>

#include <map>

namespace wasabi::standins {

namespace {

class ScorerRole final : public Role {
public:
  ScorerRole()
      : Role({{"slow_ms", 0}, {"fail_next", 0}, {"lose_answers", 0}}) {}

  boost::json::value truth() const override {
    boost::json::object scored;
    for (const std::pair<const std::string, std::uint64_t> &it : Scored)
      scored[it.first] = it.second;
    return {{"scored", std::move(scored)}};
  }

  boost::asio::awaitable<void> answer(const http::Request &Ask,
                                      const ResponderPtr &To) override {
    if (Ask.Method != "POST" || Ask.path() != "/v1/score") {
      co_await sendError(To, NotFound, "no such path");
      co_return;
    }
    boost::json::object body = readObject(Ask.Body);
    std::string slot = readText(body, "slot");
    double score = computeScore(readText(body, "text"));
    if (InjectedFaults.consumeOne("fail_next")) {
      co_await sendError(To, InternalError, "told to fail");
      co_return;
    }
    ++Scored[slot];
    if (InjectedFaults.consumeOne("lose_answers")) {
      To->abort();
      co_return;
    }
    boost::json::value result = {{"score", score}};
    co_await sendJson(To, Ok, std::move(result));
  }

private:
  std::map<std::string, std::uint64_t> Scored;
};

} // namespace

double computeScore(std::string_view Text) {
  constexpr int DroppedBits = 11;
  constexpr double Two53 = 9007199254740992.0;
  std::uint64_t hash = XXH64(Text.data(), Text.size(), 0);
  return static_cast<double>(hash >> DroppedBits) / Two53;
}

std::shared_ptr<Role> createScorerRole() {
  return std::make_shared<ScorerRole>();
}

} // namespace wasabi::standins
