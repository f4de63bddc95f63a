#include "Wasabi/Quarantine/RequestDigest.h"

#include <catch2/catch.hpp>

#include <functional>

namespace wasabi {

namespace {

http::Request sample() {
  http::Request ask;
  ask.Method = "POST";
  ask.Target = "/desk/7?page=2";
  ask.Headers = {{"Host", "host.example"}, {"X-Attempt", "1"}};
  ask.Body = "body";
  return ask;
}

} // namespace

TEST_CASE("Two attempts of one request have one digest", "[quarantine]") {
  http::Request again = sample();
  again.Headers[1].Value = "2";
  again.Headers.push_back({"Last-Event-Id", "3"});
  CHECK(digestOf(again) == digestOf(sample()));
  CHECK(digestOf(sample()).Text.size() == 32);
}

TEST_CASE("Another method, target, caller or body is another request",
          "[quarantine]") {
  using Change = std::function<void(http::Request &)>;
  for (const Change &change : {
           Change([](http::Request &Of) { Of.Method = "PUT"; }),
           Change([](http::Request &Of) { Of.Target = "/desk/7?page=3"; }),
           Change([](http::Request &Of) { Of.Headers[0].Value = "b.example"; }),
           Change([](http::Request &Of) {
             Of.Headers.push_back({"authorization", "Bearer x"});
           }),
           Change([](http::Request &Of) { Of.Body = "bodz"; }),
           // The same bytes, divided otherwise.
           Change([](http::Request &Of) {
             Of.Method = "POST/";
             Of.Target = "desk/7?page=2";
           }),
       }) {
    http::Request other = sample();
    change(other);
    CHECK(digestOf(other) != digestOf(sample()));
  }
}

} // namespace wasabi
