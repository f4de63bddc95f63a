#include "Wasabi/Rollout/SampleRequest.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace wasabi {

namespace json = boost::json;

namespace {

/// Long, because the owner cancels attempts itself.
constexpr Millis SampleDeadline{600000};

std::string makeRequestBody(const DispatchAttempt &Dispatch,
                            const SampleOrigin &Origin) {
  json::object body{{"model", Origin.Model.Text},
                    {"prompt", Dispatch.Prompt},
                    {"max_tokens", Dispatch.MaxTokens},
                    {"seed", Dispatch.Seed},
                    {"stream", true},
                    {"priority", Origin.Priority}};
  if (Dispatch.From.Tokens > 0)
    body["resume"] = json::object{{"position", Dispatch.From.Tokens},
                                  {"text", Dispatch.From.Text}};
  return json::serialize(body);
}

} // namespace

RequestAttempt makeSampleRequest(const DispatchAttempt &Dispatch,
                                 const SampleOrigin &Origin) {
  RequestAttempt attempt;
  // Engines identify a request by this id, so it differs between attempts.
  attempt.Request = Origin.Trainer.Text + ":" + std::to_string(Origin.Fence) +
                    ":" + std::to_string(Dispatch.Attempt);
  attempt.Attempt = Dispatch.Number;
  attempt.Service = Dispatch.On.Service;
  attempt.Server = Dispatch.On.Name;
  attempt.Http.Method = "POST";
  attempt.Http.Target = "/v1/completions";
  attempt.Http.Headers = {{"Content-Type", "application/json"},
                          {"X-Request-Id", attempt.Request}};
  attempt.Http.Body = makeRequestBody(Dispatch, Origin);
  attempt.Idempotent = true;
  attempt.Deadline = SampleDeadline;
  attempt.Priority = Origin.Priority;
  attempt.Caller = "trainer/" + Origin.Trainer.Text;
  attempt.Trainer = Origin.Trainer;
  attempt.Slot = toText(Dispatch.Place);
  return attempt;
}

} // namespace wasabi
