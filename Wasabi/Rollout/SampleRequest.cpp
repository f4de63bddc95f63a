#include "Wasabi/Rollout/SampleRequest.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace wasabi {

namespace json = boost::json;

namespace {

/// A sample has no caller that leaves: the owner cancels by itself.
constexpr Millis SampleDeadline{600000};

std::string bodyOf(const DispatchAttempt &What, const SampleOrigin &From) {
  json::object body{{"model", From.Model.Text},
                    {"prompt", What.Prompt},
                    {"max_tokens", What.MaxTokens},
                    {"seed", What.Seed},
                    {"stream", true},
                    {"priority", From.Priority}};
  if (What.From.Tokens > 0)
    body["resume"] =
        json::object{{"position", What.From.Tokens}, {"text", What.From.Text}};
  return json::serialize(body);
}

} // namespace

RequestAttempt makeSampleRequest(const DispatchAttempt &What,
                                 const SampleOrigin &From) {
  RequestAttempt attempt;
  // Engines know a request by this id: it is another one for each attempt.
  attempt.Request = From.Trainer.Text + ":" + std::to_string(From.Fence) + ":" +
                    std::to_string(What.Attempt);
  attempt.Attempt = What.Number;
  attempt.Service = What.On.Service;
  attempt.Server = What.On.Name;
  attempt.Http.Method = "POST";
  attempt.Http.Target = "/v1/completions";
  attempt.Http.Headers = {{"Content-Type", "application/json"},
                          {"X-Request-Id", attempt.Request}};
  attempt.Http.Body = bodyOf(What, From);
  attempt.Idempotent = true;
  attempt.Deadline = SampleDeadline;
  attempt.Priority = From.Priority;
  attempt.Caller = "trainer/" + From.Trainer.Text;
  attempt.Trainer = From.Trainer;
  attempt.Slot = toText(What.Place);
  return attempt;
}

} // namespace wasabi
