#include "Wasabi/Rollout/TrainerRecord.h"

#include "Wasabi/Rollout/SampleJson.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace wasabi {

namespace json = boost::json;

namespace {

constexpr char Place[] = "trainer record";

/// Writes one body's members, and its kind, into a record's object.
struct BodyWriter {
  json::object &Into;

  void operator()(const OwnerStart &What) const {
    Into["kind"] = "owner_start";
    Into["staleness_bound"] = What.StalenessBound;
  }
  void operator()(const VersionPublished &What) const {
    Into["kind"] = "version_published";
    Into["version"] = What.Version;
  }
  void operator()(const StepOpened &What) const {
    Into["kind"] = "step_opened";
    Into["step"] = What.Step;
  }
  void operator()(const SampleCommit &What) const {
    Into["kind"] = "sample_commit";
    json::array samples;
    for (const Sample &it : What.Samples)
      samples.push_back(toJson(it));
    Into["samples"] = std::move(samples);
  }
  void operator()(const SamplesDelivered &What) const {
    Into["kind"] = "samples_delivered";
    Into["delivery"] = What.Delivery;
    Into["slots"] = toJson(What.Slots);
  }
  void operator()(const StepClosed &What) const {
    Into["kind"] = "step_closed";
    Into["step"] = What.Step;
  }
};

Result<TrainerBody> readCommit(const json::object &From) {
  BOOST_LEAF_AUTO(list, arrayMember(From, "samples", Place));
  SampleCommit commit;
  for (const json::value &it : *list) {
    BOOST_LEAF_AUTO(sample, sampleFromJson(it, Place));
    // A label with a gap attests nothing: such a record is malformed.
    if (!covers(sample.Spans, sample.Tokens))
      return badInput(std::string(Place) + "/samples/spans",
                      "spans do not cover the tokens");
    commit.Samples.push_back(std::move(sample));
  }
  return TrainerBody(std::move(commit));
}

Result<TrainerBody> readDelivered(const json::object &From) {
  SamplesDelivered delivered;
  BOOST_LEAF_ASSIGN(delivered.Delivery, textMember(From, "delivery", Place));
  BOOST_LEAF_AUTO(list, arrayMember(From, "slots", Place));
  BOOST_LEAF_ASSIGN(delivered.Slots, slotsFromJson(*list, Place));
  return TrainerBody(std::move(delivered));
}

Result<TrainerBody> readBody(const json::object &From,
                             const std::string &Kind) {
  if (Kind == "owner_start") {
    BOOST_LEAF_AUTO(bound, numberMember(From, "staleness_bound", Place));
    return TrainerBody(OwnerStart{static_cast<std::uint32_t>(bound)});
  }
  if (Kind == "version_published") {
    BOOST_LEAF_AUTO(version, numberMember(From, "version", Place));
    return TrainerBody(VersionPublished{version});
  }
  if (Kind == "step_opened") {
    BOOST_LEAF_AUTO(step, numberMember(From, "step", Place));
    return TrainerBody(StepOpened{step});
  }
  if (Kind == "sample_commit")
    return readCommit(From);
  if (Kind == "samples_delivered")
    return readDelivered(From);
  if (Kind == "step_closed") {
    BOOST_LEAF_AUTO(step, numberMember(From, "step", Place));
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

std::string encodeTrainerRecord(const TrainerRecord &What) {
  json::object object{{"schema", RecordSchema},
                      {"author", What.Id.Author},
                      {"life", What.Id.Life},
                      {"sequence", What.Id.Sequence},
                      {"fence", What.Fence}};
  std::visit(BodyWriter{object}, What.Body);
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
  BOOST_LEAF_ASSIGN(record.Body, readBody(object, kind));
  return record;
}

} // namespace wasabi
