#include "Wasabi/Adapters/Proxy/CallerResponse.h"

#include "Wasabi/Adapters/Proxy/ProxyHeaders.h"
#include "Wasabi/Routing/Problem.h"

namespace wasabi {

namespace asio = boost::asio;

void CallerResponse::prepare(http::Response &Answer) {
  removeHopByHopHeaders(Answer.Headers);
  removeHeader(Answer.Headers, VerdictHeader);
  removeHeader(Answer.Headers, "X-Request-Id");
  Answer.Headers.push_back({VerdictHeader, std::string(toText(Verdict::Ran))});
  Answer.Headers.push_back({"X-Request-Id", Name});
  Status = Answer.Status;
}

asio::awaitable<Outcome<Done>> CallerResponse::send(http::Response Whole) {
  prepare(Whole);
  Begun = true;
  Bytes += Whole.Body.size();
  co_return co_await Out->send(std::move(Whole));
}

asio::awaitable<Outcome<Done>> CallerResponse::begin(http::Response Head) {
  prepare(Head);
  Begun = true;
  Head.Body.clear();
  co_return co_await Out->begin(std::move(Head));
}

asio::awaitable<Outcome<Done>> CallerResponse::write(std::string Piece) {
  Bytes += Piece.size();
  co_return co_await Out->write(std::move(Piece));
}

asio::awaitable<Outcome<Done>> CallerResponse::end() {
  co_return co_await Out->end();
}

asio::awaitable<Outcome<Done>> CallerResponse::refuse(Failure Why) {
  http::Response problem = problemResponse(Why);
  problem.Headers.push_back({"X-Request-Id", Name});
  Status = problem.Status;
  Bytes = problem.Body.size();
  co_return co_await Out->send(std::move(problem));
}

Failure CallerResponse::callerLeft() const {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::Cancelled,
                 "caller",
                 "it closed its connection",
                 {}};
}

} // namespace wasabi
