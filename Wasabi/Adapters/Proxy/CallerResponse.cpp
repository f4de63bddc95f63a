#include "Wasabi/Adapters/Proxy/CallerResponse.h"

#include "Wasabi/Adapters/Proxy/ProxyHeaders.h"
#include "Wasabi/Routing/Problem.h"

namespace wasabi {

namespace asio = boost::asio;

void CallerResponse::prepareHeaders(http::Response &Response) {
  removeHopByHopHeaders(Response.Headers);
  removeHeader(Response.Headers, VerdictHeader);
  removeHeader(Response.Headers, "X-Request-Id");
  Response.Headers.push_back(
      {VerdictHeader, std::string(toText(Verdict::Ran))});
  Response.Headers.push_back({"X-Request-Id", RequestId});
  Status = Response.Status;
}

asio::awaitable<Outcome<Done>> CallerResponse::send(http::Response Response) {
  prepareHeaders(Response);
  Started = true;
  Bytes += Response.Body.size();
  co_return co_await Out->send(std::move(Response));
}

asio::awaitable<Outcome<Done>> CallerResponse::begin(http::Response Response) {
  prepareHeaders(Response);
  Started = true;
  Response.Body.clear();
  co_return co_await Out->begin(std::move(Response));
}

asio::awaitable<Outcome<Done>> CallerResponse::write(std::string Chunk) {
  Bytes += Chunk.size();
  co_return co_await Out->write(std::move(Chunk));
}

asio::awaitable<Outcome<Done>> CallerResponse::end() {
  co_return co_await Out->end();
}

asio::awaitable<Outcome<Done>> CallerResponse::refuse(Failure Why) {
  http::Response problem = problemResponse(Why);
  problem.Headers.push_back({"X-Request-Id", RequestId});
  Status = problem.Status;
  Bytes = problem.Body.size();
  co_return co_await Out->send(std::move(problem));
}

Failure CallerResponse::makeCallerLeftFailure() const {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::Cancelled,
                 "caller",
                 "the caller closed its connection",
                 {}};
}

} // namespace wasabi
