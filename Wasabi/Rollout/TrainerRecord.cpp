#include "Wasabi/Rollout/TrainerRecord.h"

#include "Wasabi/Rollout/SampleJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace wasabi {

namespace json = boost::json;

namespace {

constexpr char Place[] = "trainer record";

/// Writes the kind and the members of a body into a record's object.
struct BodyWriter {
  json::object &Into;

  void operator()(const OwnerStart &Body) const {
    Into["kind"] = "owner_start";
    Into["staleness_bound"] = Body.StalenessBound;
  }
  void operator()(const VersionPublished &Body) const {
    Into["kind"] = "version_published";
    Into["version"] = Body.Version;
  }
  void operator()(const StepOpened &Body) const {
    Into["kind"] = "step_opened";
    Into["step"] = Body.Step;
  }
  void operator()(const SampleCommit &Body) const {
    Into["kind"] = "sample_commit";
    json::array samples;
    for (const Sample &it : Body.Samples)
      samples.push_back(toJson(it));
    Into["samples"] = std::move(samples);
  }
  void operator()(const SamplesDelivered &Body) const {
    Into["kind"] = "samples_delivered";
    Into["delivery"] = Body.Delivery;
    Into["slots"] = toJson(Body.Slots);
  }
  void operator()(const StepClosed &Body) const {
    Into["kind"] = "step_closed";
    Into["step"] = Body.Step;
  }
};

Result<TrainerBody> parseCommit(const json::object &Object) {
  BOOST_LEAF_AUTO(array, arrayMember(Object, "samples", Place));
  SampleCommit commit;
  for (const json::value &it : *array) {
    BOOST_LEAF_AUTO(sample, sampleFromJson(it, Place));
    // A label with gaps makes the record malformed.
    if (!covers(sample.Spans, sample.Tokens))
      return badInput(std::string(Place) + "/samples/spans",
                      "spans do not cover the tokens");
    commit.Samples.push_back(std::move(sample));
  }
  return TrainerBody(std::move(commit));
}

Result<TrainerBody> parseDelivered(const json::object &Object) {
  SamplesDelivered delivered;
  BOOST_LEAF_ASSIGN(delivered.Delivery, textMember(Object, "delivery", Place));
  BOOST_LEAF_AUTO(array, arrayMember(Object, "slots", Place));
  BOOST_LEAF_ASSIGN(delivered.Slots, slotsFromJson(*array, Place));
  return TrainerBody(std::move(delivered));
}

Result<TrainerBody> parseBody(const json::object &Object,
                              const std::string &Kind) {
  if (Kind == "owner_start") {
    BOOST_LEAF_AUTO(bound, numberMember(Object, "staleness_bound", Place));
    return TrainerBody(OwnerStart{static_cast<std::uint32_t>(bound)});
  }
  if (Kind == "version_published") {
    BOOST_LEAF_AUTO(version, numberMember(Object, "version", Place));
    return TrainerBody(VersionPublished{version});
  }
  if (Kind == "step_opened") {
    BOOST_LEAF_AUTO(step, numberMember(Object, "step", Place));
    return TrainerBody(StepOpened{step});
  }
  if (Kind == "sample_commit")
    return parseCommit(Object);
  if (Kind == "samples_delivered")
    return parseDelivered(Object);
  if (Kind == "step_closed") {
    BOOST_LEAF_AUTO(step, numberMember(Object, "step", Place));
    return TrainerBody(StepClosed{step});
  }
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::NewerSchema,
                                        std::string(Place) + "/kind",
                                        "unknown kind " + Kind,
                                        {}});
}

} // namespace

std::string trainerStream(const TrainerName &Trainer) {
  return "trainer." + Trainer.Text;
}

std::string encodeTrainerRecord(const TrainerRecord &Record) {
  json::object object{{"schema", RecordSchema},
                      {"author", Record.Id.Author},
                      {"life", Record.Id.Life},
                      {"sequence", Record.Id.Sequence},
                      {"fence", Record.Fence}};
  std::visit(BodyWriter{object}, Record.Body);
  return json::serialize(object);
}

Result<TrainerRecord> decodeTrainerRecord(std::string_view Text) {
  BOOST_LEAF_AUTO(object, parseObject(Text, Place));
  BOOST_LEAF_AUTO(schema, numberMember(object, "schema", Place));
  if (schema > RecordSchema)
    return boost::leaf::new_error(
        Failure{Verdict::NotRun,
                FailureCode::NewerSchema,
                std::string(Place) + "/schema",
                "schema " + std::to_string(schema) + " is newer",
                {}});
  TrainerRecord record;
  BOOST_LEAF_ASSIGN(record.Id.Author, textMember(object, "author", Place));
  BOOST_LEAF_ASSIGN(record.Id.Life, numberMember(object, "life", Place));
  BOOST_LEAF_ASSIGN(record.Id.Sequence,
                    numberMember(object, "sequence", Place));
  BOOST_LEAF_ASSIGN(record.Fence, numberMember(object, "fence", Place));
  BOOST_LEAF_AUTO(kind, textMember(object, "kind", Place));
  BOOST_LEAF_ASSIGN(record.Body, parseBody(object, kind));
  return record;
}

} // namespace wasabi
