/// \file
/// Guards against large jobs that end the edge process which receives them, by
/// its memory.
#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Platform/PlatformFixture.h"
#include "Wasabi/Core/Base64.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <catch2/catch.hpp>

#include <future>

namespace wasabi::test {

namespace {

namespace json = boost::json;

constexpr unsigned Accepted = 202;
/// Size of a trainer's step.
constexpr std::size_t ItemsPerJob = 1024;
/// With this body of each item, a submission has about 32 MiB.
constexpr std::size_t BodyBytes = 23000;

/// Builds a submission of nearly the maximum size of a request.
std::string makeLargeJobBody(const std::string &Job) {
  std::vector<std::string> items;
  for (std::size_t i = 0; i < ItemsPerJob; ++i)
    items.push_back(Job + "-" + std::to_string(i));
  json::value body = json::parse(makeJobBody(Job, items, 1));
  for (json::value &it : body.at("items").as_array())
    it.at("body") = encodeBase64(std::string(BodyBytes, 'p'));
  return json::serialize(body);
}

/// Submits a job and returns the status.
unsigned submitLargeJob(const Address &Edge, const std::string &Job) {
  constexpr Millis SubmitTimeout{20000};
  http::Request request;
  request.Method = "POST";
  request.Target = "/rollout/" + Job;
  request.Headers = {{"Host", "host.example"}, {"Wasabisail-Request-Id", Job}};
  request.Body = makeLargeJobBody(Job);
  Outcome<http::Response> got =
      harness::call(Edge, std::move(request), SubmitTimeout);
  return got ? got->Status : 0;
}

} // namespace

// Guards against copies of a job that are held while its items are stored.
TEST_CASE("Platform: large jobs stay within the memory of an edge instance") {
  constexpr int Trainers = 2;
  constexpr int Steps = 2;
  PlatformFixture fixture(1);
  REQUIRE(fixture.waitUntilAllReady());
  const Address &edge = fixture.edge(0).CallerAddress;
  std::vector<std::future<bool>> trainers;
  trainers.reserve(Trainers);
  for (int i = 0; i < Trainers; ++i)
    trainers.push_back(std::async(std::launch::async, [&edge, i] {
      bool accepted = true;
      for (int step = 0; step < Steps; ++step)
        accepted &=
            submitLargeJob(edge, "trainer" + std::to_string(i) + "-step" +
                                     std::to_string(step)) == Accepted;
      return accepted;
    }));
  for (std::future<bool> &it : trainers)
    CHECK(it.get());
  std::size_t peak = fixture.edge(0).Running->peakMemoryKib();
  INFO(peak << " KiB at most");
  CHECK(peak > 0);
  CHECK(peak < EdgeMemoryKib);
}

} // namespace wasabi::test
