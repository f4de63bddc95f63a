#include "Wasabi/Batch/BatchRecord.h"

#include "Wasabi/Core/Base64.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

namespace wasabi {

namespace {

namespace json = boost::json;

/// Raised when an older release could misread what a newer one writes.
constexpr std::uint64_t Schema = 1;
/// What an item takes beside its texts, in bytes, at most.
constexpr std::size_t ItemHeadBytes = 256;

//===--- Writing ----------------------------------------------------------===//

json::value itemValue(const BatchItem &Item) {
  json::array headers;
  for (const PassedHeader &it : Item.Headers)
    headers.push_back(json::array{it.Name, it.Value});
  json::object value{{"id", Item.Id.Text},
                     {"path", Item.Path},
                     {"headers", std::move(headers)},
                     {"body", encodeBase64(Item.Body)},
                     {"group", Item.Group},
                     {"expect", Item.ExpectedTokens}};
  if (Item.Score) {
    value["score"] =
        json::array{Item.Score->Id, Item.Score->Host, Item.Score->Path,
                    encodeBase64(Item.Score->Body)};
  }
  return value;
}

/// What every process needs of an item whose rest lies elsewhere.
json::value sketchValue(const BatchItem &Item) {
  return {{"id", Item.Id.Text},
          {"group", Item.Group},
          {"expect", Item.ExpectedTokens}};
}

json::array placeValue(const PayloadPlace &Place) {
  json::array records;
  for (const PayloadRecord &it : Place)
    records.push_back(json::array{it.At, it.Bytes});
  return records;
}

json::object fieldsOf(const JobPart &What) {
  json::array items;
  for (const BatchItem &it : What.Job.Items)
    items.push_back(What.ItemsAt.empty() ? itemValue(it) : sketchValue(it));
  return {{"kind", "job"},
          {"job", What.Job.Id.Text},
          {"part", What.Part},
          {"parts", What.Parts},
          {"host", What.Job.Host},
          {"path", What.Job.Path},
          {"model", What.Job.Model.Text},
          {"step", What.Job.Step},
          {"min", What.Job.MinVersion},
          {"groups", What.Job.TargetGroups},
          {"at", placeValue(What.ItemsAt)},
          {"items", std::move(items)}};
}

json::object fieldsOf(const ResultRecord &What) {
  return {{"kind", "result"},
          {"job", What.Job.Text},
          {"item", What.Result.Item.Text},
          {"done", What.Result.End == ItemEnd::Completed},
          {"text", What.Result.Output},
          {"at", placeValue(What.Result.OutputAt)},
          {"versions", json::value_from(What.Result.Versions)},
          {"score", What.Result.Score}};
}

json::object fieldsOf(const JobEnd &What) {
  return {{"kind", "end"}, {"job", What.Job.Text}};
}

json::object fieldsOf(const TextRecord &What) {
  return {{"kind", "text"},
          {"job", What.Job.Text},
          {"item", What.Item.Text},
          {"source", What.Source},
          {"after", What.After},
          {"text", What.Text.Output},
          {"at", placeValue(What.OutputAt)},
          {"events", What.Text.Events},
          {"whole", What.Text.Whole},
          {"versions", json::value_from(What.Text.Versions)}};
}

json::object fieldsOf(const LeaseClaim &What) {
  return {{"kind", "claim"},
          {"holder", What.Holder.Instance.Text},
          {"life", What.Holder.Life}};
}

json::object fieldsOf(const LeaseRenewal &What) {
  return {{"kind", "renew"}, {"term", What.Term}};
}

json::object fieldsOf(const LeaseRelease &What) {
  return {{"kind", "release"}, {"term", What.Term}};
}

//===--- Reading ----------------------------------------------------------===//
// Missing or mistyped members throw inside of Boost.JSON; `decodeRecord` turns
// that into a result.

std::string textOf(const json::object &From, std::string_view Key) {
  const json::string &text = From.at(Key).as_string();
  return std::string(text.data(), text.size());
}

std::uint64_t numberOf(const json::object &From, std::string_view Key) {
  return From.at(Key).to_number<std::uint64_t>();
}

std::string bytesOf(const json::value &From) {
  const json::string &text = From.as_string();
  std::optional<std::string> bytes = decodeBase64({text.data(), text.size()});
  if (!bytes)
    throw std::invalid_argument("not base64");
  return std::move(*bytes);
}

std::string plainText(const json::value &From) {
  const json::string &text = From.as_string();
  return std::string(text.data(), text.size());
}

std::vector<WeightVersion> versionsOf(const json::object &From) {
  return json::value_to<std::vector<WeightVersion>>(From.at("versions"));
}

PayloadPlace placeOf(const json::object &From) {
  PayloadPlace place;
  const json::value *records = From.if_contains("at");
  if (records == nullptr)
    return place;
  for (const json::value &it : records->as_array())
    place.push_back(
        {it.at(0).to_number<Offset>(), it.at(1).to_number<std::uint64_t>()});
  return place;
}

BatchItem readSketch(const json::object &From) {
  BatchItem item;
  item.Id = ItemId(textOf(From, "id"));
  item.Group = textOf(From, "group");
  item.ExpectedTokens = From.at("expect").to_number<double>();
  return item;
}

BatchItem readItem(const json::object &From) {
  BatchItem item = readSketch(From);
  item.Path = textOf(From, "path");
  for (const json::value &it : From.at("headers").as_array()) {
    const json::array &pair = it.as_array();
    item.Headers.push_back({plainText(pair.at(0)), plainText(pair.at(1))});
  }
  item.Body = bytesOf(From.at("body"));
  const json::value *score = From.if_contains("score");
  if (score != nullptr) {
    const json::array &parts = score->as_array();
    item.Score = ScoreCall{plainText(parts.at(0)), plainText(parts.at(1)),
                           plainText(parts.at(2)), bytesOf(parts.at(3))};
  }
  return item;
}

BatchRecord readJob(const json::object &From) {
  JobPart part;
  part.Part = static_cast<std::uint32_t>(numberOf(From, "part"));
  part.Parts = static_cast<std::uint32_t>(numberOf(From, "parts"));
  part.Job.Id = JobId(textOf(From, "job"));
  part.Job.Host = textOf(From, "host");
  part.Job.Path = textOf(From, "path");
  part.Job.Model = ModelName(textOf(From, "model"));
  part.Job.Step = numberOf(From, "step");
  part.Job.MinVersion = numberOf(From, "min");
  part.Job.TargetGroups = numberOf(From, "groups");
  part.ItemsAt = placeOf(From);
  for (const json::value &it : From.at("items").as_array())
    part.Job.Items.push_back(part.ItemsAt.empty() ? readItem(it.as_object())
                                                  : readSketch(it.as_object()));
  return part;
}

BatchRecord readResult(const json::object &From) {
  ResultRecord record;
  record.Job = JobId(textOf(From, "job"));
  record.Result.Item = ItemId(textOf(From, "item"));
  record.Result.End =
      From.at("done").as_bool() ? ItemEnd::Completed : ItemEnd::Terminated;
  record.Result.Output = textOf(From, "text");
  record.Result.OutputAt = placeOf(From);
  record.Result.Versions = versionsOf(From);
  record.Result.Score = textOf(From, "score");
  return record;
}

BatchRecord readText(const json::object &From) {
  TextRecord record;
  record.Job = JobId(textOf(From, "job"));
  record.Item = ItemId(textOf(From, "item"));
  record.Source = numberOf(From, "source");
  record.After = numberOf(From, "after");
  record.Text.Output = textOf(From, "text");
  record.OutputAt = placeOf(From);
  record.Text.Events = numberOf(From, "events");
  record.Text.Versions = versionsOf(From);
  record.Text.Whole = From.at("whole").as_bool();
  return record;
}

BatchRecord readClaim(const json::object &From) {
  return LeaseClaim{
      {InstanceName(textOf(From, "holder")), numberOf(From, "life")}};
}

BatchRecord readRecord(const json::object &From) {
  std::string kind = textOf(From, "kind");
  if (kind == "job")
    return readJob(From);
  if (kind == "result")
    return readResult(From);
  if (kind == "end")
    return JobEnd{JobId(textOf(From, "job"))};
  if (kind == "text")
    return readText(From);
  if (kind == "claim")
    return readClaim(From);
  if (kind == "renew")
    return LeaseRenewal{numberOf(From, "term")};
  if (kind == "release")
    return LeaseRelease{numberOf(From, "term")};
  throw std::invalid_argument("unknown kind '" + kind + "'");
}

json::value parseText(std::string_view Text) {
  json::parse_options options;
  // Generated text is passed on as it came, whatever its encoding.
  options.allow_invalid_utf8 = true;
  return json::parse({Text.data(), Text.size()}, json::storage_ptr(), options);
}

std::size_t sizeOf(const BatchItem &Item) {
  constexpr std::size_t PerHeader = 16;
  std::size_t bytes = ItemHeadBytes + Item.Path.size() + Item.Group.size() +
                      Item.Body.size() * 4 / 3;
  for (const PassedHeader &it : Item.Headers)
    bytes += PerHeader + it.Name.size() + it.Value.size();
  if (Item.Score)
    bytes += Item.Score->Path.size() + Item.Score->Body.size() * 4 / 3;
  return bytes;
}

} // namespace

std::string encodeRecord(const BatchRecord &What) {
  json::object fields =
      std::visit([](const auto &Kind) { return fieldsOf(Kind); }, What);
  fields["schema"] = Schema;
  return json::serialize(fields);
}

Result<BatchRecord> decodeRecord(std::string_view Text,
                                 const std::string &Place) {
  try {
    json::value value = parseText(Text);
    const json::object &fields = value.as_object();
    if (numberOf(fields, "schema") > Schema) {
      return boost::leaf::new_error(Failure{Verdict::NotRun,
                                            FailureCode::NewerSchema,
                                            Place,
                                            "written by a later release",
                                            {}});
    }
    return readRecord(fields);
  } catch (const std::exception &Caught) {
    return badInput(Place, Caught.what());
  }
}

std::string encodeItems(const std::vector<BatchItem> &Items) {
  json::array items;
  for (const BatchItem &it : Items)
    items.push_back(itemValue(it));
  return json::serialize(items);
}

Result<std::vector<BatchItem>> decodeItems(std::string_view Text,
                                           const std::string &Place) {
  try {
    std::vector<BatchItem> items;
    json::value value = parseText(Text);
    for (const json::value &it : value.as_array())
      items.push_back(readItem(it.as_object()));
    return items;
  } catch (const std::exception &Caught) {
    return badInput(Place, Caught.what());
  }
}

std::vector<JobPart> splitJob(const BatchJob &Job, std::size_t MaxBytes) {
  std::vector<JobPart> parts;
  std::size_t bytes = MaxBytes;
  for (const BatchItem &it : Job.Items) {
    std::size_t more = sizeOf(it);
    if (bytes + more > MaxBytes) {
      JobPart part;
      part.Job = Job;
      part.Job.Items.clear();
      parts.push_back(std::move(part));
      bytes = 0;
    }
    bytes += more;
    parts.back().Job.Items.push_back(it);
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].Part = static_cast<std::uint32_t>(i);
    parts[i].Parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

} // namespace wasabi
