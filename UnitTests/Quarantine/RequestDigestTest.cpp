#include "Wasabi/Quarantine/RequestDigest.h"

#include <catch2/catch.hpp>

#include <functional>

namespace wasabi {

namespace {

http::Request sample() {
  http::Request request;
  request.Method = "POST";
  request.Target = "/desk/7?page=2";
  request.Headers = {{"Host", "host.example"}, {"X-Attempt", "1"}};
  request.Body = "body";
  return request;
}

} // namespace

TEST_CASE("Two attempts of one request have the same digest", "[quarantine]") {
  http::Request retry = sample();
  retry.Headers[1].Value = "2";
  retry.Headers.push_back({"Last-Event-Id", "3"});
  CHECK(digestOf(retry) == digestOf(sample()));
  CHECK(digestOf(sample()).Text.size() == 32);
}

TEST_CASE("A different method, target, caller or body changes the digest",
          "[quarantine]") {
  using Change = std::function<void(http::Request &)>;
  for (const Change &change : {
           Change([](http::Request &Request) { Request.Method = "PUT"; }),
           Change([](http::Request &Request) {
             Request.Target = "/desk/7?page=3";
           }),
           Change([](http::Request &Request) {
             Request.Headers[0].Value = "b.example";
           }),
           Change([](http::Request &Request) {
             Request.Headers.push_back({"authorization", "Bearer x"});
           }),
           Change([](http::Request &Request) { Request.Body = "bodz"; }),
           // The same bytes, divided differently between method and target.
           Change([](http::Request &Request) {
             Request.Method = "POST/";
             Request.Target = "desk/7?page=2";
           }),
       }) {
    http::Request other = sample();
    change(other);
    CHECK(digestOf(other) != digestOf(sample()));
  }
}

} // namespace wasabi
