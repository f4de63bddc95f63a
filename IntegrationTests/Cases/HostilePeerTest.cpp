/// \file
/// Checks that peers which hang, pause, read slowly or hold idle connections do
/// not affect others.
#include "IntegrationTests/Cases/RequestFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <future>

namespace wasabi::test {
namespace {

namespace asio = boost::asio;

const std::string PlainService =
    R"([{"kind":"service","name":"desk","type":"plain"}])";

http::Request lookUp() { return plainRequest("desk", "GET", "/sites"); }

asio::ip::tcp::socket connectTo(asio::io_context &Context,
                                const Address &Where) {
  asio::ip::tcp::socket socket(Context);
  socket.connect(
      asio::ip::tcp::endpoint(asio::ip::make_address(Where.Host), Where.Port));
  return socket;
}

/// Two servers, two daemons in different failure domains, and an entry.
struct TwoServersFixture : RequestFixture {
  TwoServersFixture() {
    for (const char *it : {"a", "b"})
      addServer(it, "service");
    addDaemon("d1", "lulea-hall", {{"a", "desk"}});
    addDaemon("d2", "umea-hall", {{"b", "desk"}});
    addEntry("n1", "lulea-hall");
    publish(PlainService);
    waitForServers(2);
  }
};

} // namespace

TEST_CASE("Hostile: a paused daemon loses no request and rejoins") {
  TwoServersFixture fixture;
  fixture.member("d1").Child->signal(SIGSTOP);
  // The other daemon answers idempotent work once the pause is noticed.
  for (int n = 0; n < 3; ++n) {
    Outcome<http::Response> answer = fixture.sendRequest("n1", lookUp());
    REQUIRE(answer);
    CHECK(answer->Status == 200);
  }
  fixture.member("d1").Child->signal(SIGCONT);
  fixture.waitForServers(2);
  bool back = harness::waitUntil(
      [&] {
        fixture.sendRequest("n1", lookUp());
        return fixture.runs("a") > 0;
      },
      WaitTimeout);
  CHECK(back);
}

TEST_CASE("Hostile: a half-open connection fails at its deadline") {
  RequestFixture fixture;
  fixture.addServer("a", "service");
  harness::StandIn::Settings proxy;
  proxy.Role = "faultproxy";
  proxy.Flags = {"--upstream=" + toText(fixture.server("a").address())};
  std::unique_ptr<harness::StandIn> way =
      harness::StandIn::start(proxy).value();
  fixture.addDaemon("d1", "lulea-hall", {{"a", "desk"}},
                    {{"a", way->address()}});
  fixture.addEntry("n1", "lulea-hall");
  fixture.publish(PlainService);
  fixture.waitForServers(1);
  REQUIRE(fixture.sendRequest("n1", lookUp())->Status == 200);
  REQUIRE(way->setFaults(R"({"half_open":true})"));
  http::Request late = lookUp();
  late.Headers.push_back({"X-Deadline-Ms", "300"});
  Outcome<http::Response> answer = fixture.sendRequest("n1", late);
  REQUIRE(answer);
  CHECK(answer->Status == 504);
  CHECK(answer->header("X-Wasabi-Verdict") == "may-have-run");
  // After the connection recovers, the next request is answered.
  REQUIRE(way->setFaults(R"({"half_open":false,"cut_now":true})"));
  bool healed = harness::waitUntil(
      [&] {
        Outcome<http::Response> again = fixture.sendRequest("n1", lookUp());
        return again && again->Status == 200;
      },
      WaitTimeout);
  CHECK(healed);
}

TEST_CASE("Hostile: a caller that does not read slows only itself") {
  RequestFixture fixture;
  fixture.addServer("e", "engine", {"--model=m", "--tokens_per_s=20000"});
  fixture.addDaemon("d1", "lulea-hall", {{"e", "llm"}});
  fixture.addEntry("n1", "lulea-hall");
  fixture.publish(
      R"([{"kind":"service","name":"llm","type":"engines","model":"m"}])");
  fixture.waitForServers(1);
  asio::io_context context;
  asio::ip::tcp::socket lazy =
      connectTo(context, fixture.member("n1").ListenAddress);
  http::Request big = completion("m", "big", 200000, true);
  std::string text = "POST /v1/completions HTTP/1.1\r\nHost: n1\r\n"
                     "Content-Length: " +
                     std::to_string(big.Body.size()) + "\r\n\r\n" + big.Body;
  asio::write(lazy, asio::buffer(text));
  for (int n = 0; n < 20; ++n) {
    Outcome<http::Response> answer =
        fixture.sendRequest("n1", completion("m", "other", 20, true, n));
    REQUIRE(answer);
    CHECK(answer->Status == 200);
  }
}

TEST_CASE("Hostile: idle connections do not keep callers out") {
  TwoServersFixture fixture;
  asio::io_context context;
  std::vector<asio::ip::tcp::socket> idle;
  constexpr std::size_t Connections = 2000;
  for (std::size_t n = 0; n < Connections; ++n)
    idle.push_back(connectTo(context, fixture.member("n1").ListenAddress));
  Outcome<http::Response> answer = fixture.sendRequest("n1", lookUp());
  REQUIRE(answer);
  CHECK(answer->Status == 200);
}

TEST_CASE("Hostile: requests succeed after a third of the daemons dies") {
  RequestFixture fixture;
  std::map<int, std::string> names;
  for (int n = 0; n < 3; ++n) {
    std::string server = "s" + std::to_string(n);
    fixture.addServer(server, "service");
    fixture.addDaemon("d" + std::to_string(n), "hall-" + std::to_string(n),
                      {{server, "desk"}});
  }
  fixture.addEntry("n1", "hall-0");
  fixture.publish(PlainService);
  fixture.waitForServers(3);
  fixture.kill("d0");
  for (int n = 0; n < 100; ++n) {
    Outcome<http::Response> answer = fixture.sendRequest("n1", lookUp());
    REQUIRE(answer);
    CHECK(answer->Status == 200);
  }
}

} // namespace wasabi::test
