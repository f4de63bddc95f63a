#include "Wasabi/Adapters/Http/HttpExchange.h"

#include "Wasabi/Adapters/Http/HttpConnection.h"
#include "Wasabi/Adapters/Http/HttpWire.h"

#include <array>
#include <charconv>

namespace wasabi::http {

namespace asio = boost::asio;

namespace {

/// HTTP/1.1, the first version with chunked bodies. In earlier ones the end of
/// the connection ends the body.
constexpr unsigned FirstChunkedVersion = 11;

Failure makeMisuseFailure(std::string Reason) {
  return Failure{Verdict::NotRun,
                 FailureCode::Internal,
                 "http responder",
                 std::move(Reason),
                 {}};
}

} // namespace

Failure makePeerGoneFailure() {
  return Failure{Verdict::MayHaveRun,
                 FailureCode::Cancelled,
                 "http peer",
                 "the peer has closed its connection",
                 {}};
}

asio::awaitable<Outcome<Done>> Exchange::send(Response Reply) {
  if (State != Stage::Initial)
    co_return makeMisuseFailure("the response has already begun");
  if (Gone)
    co_return makePeerGoneFailure();
  State = Stage::Ended;
  KeepAlive = KeepAlive && !Link->closesAfterResponse();
  std::shared_ptr<Connection> link = Link;
  std::string head = writeHead(Reply, Framing::Length, KeepAlive);
  std::string_view body = HeadOnly ? std::string_view() : Reply.Body;
  std::vector<asio::const_buffer> data{asio::buffer(head), asio::buffer(body)};
  co_return co_await link->sendBytes(std::move(data));
}

asio::awaitable<Outcome<Done>> Exchange::begin(Response Head) {
  if (State != Stage::Initial)
    co_return makeMisuseFailure("the response has already begun");
  if (Gone)
    co_return makePeerGoneFailure();
  State = Stage::Begun;
  bool chunked = Version >= FirstChunkedVersion;
  KeepAlive = KeepAlive && chunked && !Link->closesAfterResponse();
  std::shared_ptr<Connection> link = Link;
  std::string head = writeHead(
      Head, chunked ? Framing::Chunked : Framing::UntilClose, KeepAlive);
  std::vector<asio::const_buffer> data{asio::buffer(head)};
  co_return co_await link->sendBytes(std::move(data));
}

asio::awaitable<Outcome<Done>> Exchange::write(std::string Chunk) {
  constexpr int Hexadecimal = 16;
  if (State != Stage::Begun)
    co_return makeMisuseFailure("the response has not begun or has ended");
  if (Gone)
    co_return makePeerGoneFailure();
  // An empty chunk would end the body.
  if (Chunk.empty() || HeadOnly)
    co_return Done{};
  std::shared_ptr<Connection> link = Link;
  std::vector<asio::const_buffer> data{asio::buffer(Chunk)};
  std::array<char, 24> size{};
  if (Version >= FirstChunkedVersion) {
    std::to_chars_result last = std::to_chars(
        size.data(), size.data() + size.size() - 2, Chunk.size(), Hexadecimal);
    *last.ptr++ = '\r';
    *last.ptr++ = '\n';
    std::size_t n = static_cast<std::size_t>(last.ptr - size.data());
    data.insert(data.begin(), asio::buffer(size.data(), n));
    data.push_back(asio::buffer("\r\n", 2));
  }
  co_return co_await link->sendBytes(std::move(data));
}

asio::awaitable<Outcome<Done>> Exchange::end() {
  constexpr std::string_view LastChunk = "0\r\n\r\n";
  if (State != Stage::Begun)
    co_return makeMisuseFailure("the response has not begun or has ended");
  if (Gone)
    co_return makePeerGoneFailure();
  State = Stage::Ended;
  std::shared_ptr<Connection> link = Link;
  if (Version < FirstChunkedVersion || HeadOnly)
    co_return Done{};
  std::vector<asio::const_buffer> data{asio::buffer(LastChunk)};
  co_return co_await link->sendBytes(std::move(data));
}

void Exchange::abort() {
  std::shared_ptr<Connection> link = Link;
  if (link)
    link->abort();
}

void Exchange::onGone(std::function<void()> Callback) {
  if (Gone) {
    Callback();
    return;
  }
  this->Callback = std::move(Callback);
}

void Exchange::markPeerGone() {
  if (Gone)
    return;
  Gone = true;
  // Moved out first, so that it runs only once and may call back into this
  // object.
  std::function<void()> callback = std::move(Callback);
  Callback = nullptr;
  if (callback)
    callback();
}

void Exchange::finish() {
  Gone = true;
  Callback = nullptr;
  Link.reset();
}

} // namespace wasabi::http
