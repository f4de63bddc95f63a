#include "Bench/RequestChecks.h"

#include "Bench/Report.h"

#include "StandIns/TokenText.h"

#include <boost/json.hpp>

#include <map>

namespace wasabi::bench {
namespace {

constexpr unsigned WholeStatus = 200;
constexpr std::string_view NotRunWord = "not-run";
/// Size in bytes of a plain call's body.
constexpr std::size_t BodyBytes = 200;

http::Request head(const std::string &Load, std::uint64_t Number,
                   Millis Deadline) {
  http::Request ask;
  ask.Headers = {{"X-Service", FleetService},
                 {"X-Request-Id", makeRequestId(Load, Number)},
                 {"X-Deadline-Ms", std::to_string(Deadline.count())}};
  return ask;
}

/// Runs of each request over all upstreams of a fleet.
struct KnownRuns {
  std::map<std::string, std::uint64_t> Times;
  /// True if every upstream reported all of its runs.
  bool Complete = true;
};

KnownRuns runsOf(RequestFleet &Fleet) {
  KnownRuns runs;
  for (const FleetUpstream &it : Fleet.upstreams()) {
    Outcome<boost::json::value> truth = it.StandIn->truth();
    if (!truth) {
      logProgress("requests: no truth of " + it.Server + ": " +
                  describe(truth.failure()));
      runs.Complete = false;
      continue;
    }
    // An upstream drops its oldest records when it reaches its limit.
    if (truth->at("dropped").to_number<std::uint64_t>() > 0) {
      logProgress("requests: " + it.Server + " has forgotten runs");
      runs.Complete = false;
    }
    for (const boost::json::value &run : truth->at("runs").as_array())
      ++runs.Times[std::string(run.at("request").as_string())];
  }
  return runs;
}

/// The text and spans of a completion, from one body or from a stream.
struct Generated {
  std::string Text;
  std::vector<standins::VersionSpan> Spans;
  std::uint64_t Tokens = 0;
  bool Ended = false;
};

void addEvent(std::string_view Data, Generated &Into) {
  if (Data == "[DONE]")
    return;
  boost::json::object event = boost::json::parse(Data).as_object();
  if (event.contains("done")) {
    Into.Ended = true;
    Into.Tokens = event.at("tokens").to_number<std::uint64_t>();
    return;
  }
  std::uint64_t from = event.at("position").to_number<std::uint64_t>();
  std::uint64_t tokens = event.at("tokens").to_number<std::uint64_t>();
  std::uint64_t version =
      event.at("weights_version").to_number<std::uint64_t>();
  Into.Spans.push_back({from, from + tokens, version});
  Into.Text += event.at("text").as_string();
}

Generated readStream(std::string_view Body) {
  constexpr std::string_view Mark = "data: ";
  Generated all;
  while (!Body.empty()) {
    std::size_t end = std::min(Body.find('\n'), Body.size());
    std::string_view line = Body.substr(0, end);
    if (line.starts_with(Mark))
      addEvent(line.substr(Mark.size()), all);
    Body.remove_prefix(std::min(end + 1, Body.size()));
  }
  return all;
}

Generated readWhole(std::string_view Body) {
  boost::json::object answer = boost::json::parse(Body).as_object();
  Generated all;
  all.Text = answer.at("text").as_string();
  all.Tokens = answer.at("tokens").to_number<std::uint64_t>();
  all.Ended = true;
  for (const boost::json::value &it : answer.at("spans").as_array())
    all.Spans.push_back({it.at("from").to_number<std::uint64_t>(),
                         it.at("to").to_number<std::uint64_t>(),
                         it.at("weights_version").to_number<std::uint64_t>()});
  return all;
}

bool isCorrect(const http::Request &Ask, const http::Response &Answer) {
  boost::json::object asked = boost::json::parse(Ask.Body).as_object();
  std::string prompt(asked.at("prompt").as_string());
  std::uint64_t seed = asked.at("seed").to_number<std::uint64_t>();
  std::uint64_t most = asked.at("max_tokens").to_number<std::uint64_t>();
  Generated got = asked.at("stream").as_bool() ? readStream(Answer.Body)
                                               : readWhole(Answer.Body);
  return got.Ended &&
         got.Tokens == standins::sampleLength(prompt, seed, most) &&
         standins::areContiguous(got.Spans, got.Tokens) &&
         got.Text == standins::spansText(prompt, seed, got.Spans);
}

} // namespace

std::string makeRequestId(const std::string &Load, std::uint64_t Number) {
  return Load + "-" + std::to_string(Number);
}

http::Request makePlainRequest(const std::string &Load, std::uint64_t Number,
                               Millis Deadline, const std::string &Caller) {
  http::Request ask = head(Load, Number, Deadline);
  ask.Target = "/work/" + makeRequestId(Load, Number);
  ask.Method = "GET";
  if (!Caller.empty())
    ask.Headers.push_back({"X-Caller", Caller});
  if (!mustRunOnce(Number))
    return ask;
  ask.Method = "POST";
  ask.Body = makeRequestId(Load, Number);
  ask.Body.resize(BodyBytes, '.');
  return ask;
}

void checkPlainResponse(const http::Request &Ask, const http::Response &Answer,
                        CallResult &Into) {
  boost::system::error_code ec;
  boost::json::value body = boost::json::parse(Answer.Body, ec);
  if (ec || !body.is_object())
    return;
  Into.Server = body.at("service").as_string();
  Into.IsCorrect =
      body.at("path").as_string() == Ask.Target &&
      body.at("method").as_string() == Ask.Method &&
      body.at("body_hash").as_string() == standins::hashText(Ask.Body);
}

http::Request makeCompletionRequest(const std::string &Load,
                                    std::uint64_t Number,
                                    const std::string &Prompt,
                                    std::uint64_t MaxTokens, bool Streamed,
                                    Millis Deadline) {
  http::Request ask = head(Load, Number, Deadline);
  ask.Method = "POST";
  ask.Target = "/v1/completions";
  ask.Headers.push_back({"Content-Type", "application/json"});
  boost::json::object body;
  body["model"] = FleetModel;
  body["prompt"] = Prompt;
  body["max_tokens"] = MaxTokens;
  body["seed"] = Number;
  body["stream"] = Streamed;
  ask.Body = boost::json::serialize(body);
  return ask;
}

void checkCompletionResponse(const http::Request &Ask,
                             const http::Response &Answer, CallResult &Into) {
  try {
    Into.IsCorrect = isCorrect(Ask, Answer);
  } catch (const std::exception &Why) {
    logProgress(std::string("requests: unreadable completion: ") + Why.what());
  }
}

std::uint64_t expectedCompletionTokens(const http::Request &Ask) {
  boost::json::object asked = boost::json::parse(Ask.Body).as_object();
  return standins::sampleLength(
      std::string(asked.at("prompt").as_string()),
      asked.at("seed").to_number<std::uint64_t>(),
      asked.at("max_tokens").to_number<std::uint64_t>());
}

CorrectnessCounts checkPlainRuns(const std::string &Load,
                                 const std::vector<CallResult> &Calls,
                                 RequestFleet &Fleet) {
  KnownRuns runs = runsOf(Fleet);
  CorrectnessCounts found;
  for (const CallResult &it : Calls) {
    std::map<std::string, std::uint64_t>::const_iterator known =
        runs.Times.find(makeRequestId(Load, it.Number));
    std::uint64_t times = known == runs.Times.end() ? 0 : known->second;
    // Incomplete records cannot prove that a response is correct.
    found.Checked += runs.Complete ? 1 : 0;
    if (it.Verdict == NotRunWord && times > 0)
      ++found.FalseNotRun;
    if (mustRunOnce(it.Number) && times > 1)
      ++found.DoubleRuns;
    bool fromNowhere = runs.Complete && times == 0;
    if (it.Status == WholeStatus && (!it.IsCorrect || fromNowhere))
      ++found.WrongAnswers;
  }
  return found;
}

CorrectnessCounts operator+(const CorrectnessCounts &Left,
                            const CorrectnessCounts &Right) {
  return CorrectnessCounts{
      Left.FalseNotRun + Right.FalseNotRun, Left.DoubleRuns + Right.DoubleRuns,
      Left.WrongAnswers + Right.WrongAnswers, Left.Checked + Right.Checked};
}

} // namespace wasabi::bench
