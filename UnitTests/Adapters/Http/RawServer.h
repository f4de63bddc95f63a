/// \file
/// A server on raw sockets that sends given bytes, for tests of a client.
#ifndef WASABI_UNITTESTS_ADAPTERS_HTTP_RAWSERVER_H
#define WASABI_UNITTESTS_ADAPTERS_HTTP_RAWSERVER_H

#include "UnitTests/Adapters/Http/HttpFixture.h"

#include <boost/asio/read_until.hpp>

#include <vector>

namespace wasabi::http {

/// Accepts connections while it exists. Used on the context's thread only;
/// outlives the run of the context.
class RawServer {
public:
  explicit RawServer(boost::asio::io_context &Context)
      : Context(Context),
        Acceptor(Context, {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  Address address() const {
    return Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  /// Returns the bytes to send when the given connection, counted from 1, has
  /// received the head of a request.
  std::function<std::string(std::size_t)> OnRequest;
  /// Bytes that follow these without end; empty for none.
  std::string Repeated;
  /// Pause before each repetition.
  Millis Pause{0};
  std::size_t Connections = 0;
  /// Errors that have ended connections.
  std::vector<boost::system::error_code> Ends;

private:
  struct Session : std::enable_shared_from_this<Session> {
    Session(RawServer &Owner, RawSocket Socket, std::size_t Number)
        : Owner(Owner), Socket(std::move(Socket)), Number(Number),
          Timer(Owner.Context) {}

    void readRequest() {
      boost::asio::async_read_until(
          Socket, boost::asio::dynamic_buffer(Received), "\r\n\r\n",
          [self = shared_from_this()](boost::system::error_code Failed,
                                      std::size_t Size) {
            if (Failed)
              return self->Owner.Ends.push_back(Failed);
            self->Received.erase(0, Size);
            self->send(self->Owner.OnRequest(self->Number));
          });
    }

    void send(std::string Text) {
      Sending = std::move(Text);
      boost::asio::async_write(
          Socket, boost::asio::buffer(Sending),
          [self = shared_from_this()](boost::system::error_code Failed,
                                      std::size_t) {
            if (Failed)
              self->Owner.Ends.push_back(Failed);
            else if (self->Owner.Repeated.empty())
              self->readRequest();
            else
              self->repeat();
          });
    }

    void repeat() {
      Timer.expires_after(Owner.Pause);
      Timer.async_wait([self = shared_from_this()](boost::system::error_code) {
        self->send(self->Owner.Repeated);
      });
    }

    RawServer &Owner;
    RawSocket Socket;
    const std::size_t Number;
    BootTimer Timer;
    std::string Received;
    std::string Sending;
  };

  void accept() {
    Acceptor.async_accept(
        [this](boost::system::error_code Failed, RawSocket Accepted) {
          if (Failed)
            return;
          std::make_shared<Session>(*this, std::move(Accepted), ++Connections)
              ->readRequest();
          accept();
        });
  }

  boost::asio::io_context &Context;
  boost::asio::ip::tcp::acceptor Acceptor;
};

/// Returns a request with the id that responses repeat.
inline Request makeRequest(const std::string &Id) {
  Request request;
  request.Method = "GET";
  request.Target = "/";
  request.Headers.push_back({"Request-Id", Id});
  return request;
}

} // namespace wasabi::http

#endif // WASABI_UNITTESTS_ADAPTERS_HTTP_RAWSERVER_H
