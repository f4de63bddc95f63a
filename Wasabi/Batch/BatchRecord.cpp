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
constexpr std::uint64_t Schema = 3;
/// Of records that name no customer: the release before reads them.
constexpr std::uint64_t SchemaWithoutCustomer = 2;
/// First member of a record that is an array.
constexpr std::string_view ResultTag = "result";
constexpr std::string_view TextTag = "text";
/// What an item takes beside its texts, in bytes, at most.
constexpr std::size_t ItemHeadBytes = 256;

//===--- Writing ----------------------------------------------------------===//

std::uint64_t schemaFor(const JobId &Of) {
  return Of.Customer.empty() ? SchemaWithoutCustomer : Schema;
}

/// A job's name, with its customer's if it has one.
json::value jobValue(const JobId &Id) {
  if (Id.Customer.empty())
    return json::string(Id.Text);
  return json::array{Id.Customer.Text, Id.Text};
}

json::value itemValue(const BatchItem &Item) {
  json::array headers;
  for (const ForwardedHeader &it : Item.Headers)
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
  return json::array{Item.Id.Text, Item.Group, Item.ExpectedTokens};
}

json::array placeValue(const PayloadLocation &Place) {
  json::array records;
  for (const PayloadRecordRef &it : Place)
    records.push_back(json::array{it.At, it.Bytes});
  return records;
}

json::object fieldsOf(const JobPart &What) {
  json::array items;
  for (const BatchItem &it : What.Job.Items)
    items.push_back(What.ItemsLocation.empty() ? itemValue(it)
                                               : sketchValue(it));
  return {{"kind", "job"},
          {"schema", schemaFor(What.Job.Id)},
          {"job", jobValue(What.Job.Id)},
          {"part", What.Part},
          {"parts", What.Parts},
          {"host", What.Job.Host},
          {"path", What.Job.Path},
          {"model", What.Job.Model.Text},
          {"step", What.Job.Step},
          {"min", What.Job.MinVersion},
          {"groups", What.Job.TargetGroups},
          {"at", placeValue(What.ItemsLocation)},
          {"items", std::move(items)}};
}

/// Records that there are thousands of are arrays: all processes read all of
/// them, and at a restart of all at once.
json::value fieldsOf(const ResultRecord &What) {
  return json::array{ResultTag,
                     schemaFor(What.Job),
                     jobValue(What.Job),
                     What.Result.Item.Text,
                     What.Result.Status == ItemStatus::Completed,
                     What.Result.Output,
                     placeValue(What.Result.OutputLocation),
                     json::value_from(What.Result.Versions),
                     What.Result.Score};
}

json::object fieldsOf(const JobEnd &What) {
  return {{"kind", "end"},
          {"schema", schemaFor(What.Job)},
          {"job", jobValue(What.Job)}};
}

json::value fieldsOf(const PartialTextRecord &What) {
  return json::array{TextTag,
                     schemaFor(What.Job),
                     jobValue(What.Job),
                     What.Item.Text,
                     What.Source,
                     What.After,
                     What.Text.Output,
                     placeValue(What.OutputLocation),
                     What.Text.Events,
                     What.Text.IsComplete,
                     json::value_from(What.Text.Versions)};
}

json::object fieldsOf(const LeaseClaim &What) {
  json::object fields{{"kind", "claim"},
                      {"holder", What.Holder.Instance.Text},
                      {"life", What.Holder.Life}};
  if (What.After)
    fields["after"] = *What.After;
  return fields;
}

json::object fieldsOf(const LeaseRenewal &What) {
  return {{"kind", "renew"},
          {"term", What.Term},
          {"holder", What.Holder.Instance.Text},
          {"life", What.Holder.Life}};
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

PayloadLocation placeOf(const json::value &From) {
  PayloadLocation place;
  for (const json::value &it : From.as_array())
    place.push_back(
        {it.at(0).to_number<Offset>(), it.at(1).to_number<std::uint64_t>()});
  return place;
}

JobId jobOf(const json::value &From) {
  if (From.is_string())
    return JobId(plainText(From));
  return JobId(plainText(From.at(1)), CustomerName(plainText(From.at(0))));
}

/// The members of a record that is an array, in their order.
class ArrayReader {
public:
  explicit ArrayReader(const json::array &From) : From(From) {}

  const json::value &next() { return From.at(Place++); }
  std::string text() { return plainText(next()); }
  std::uint64_t number() { return next().to_number<std::uint64_t>(); }
  std::vector<WeightVersion> versions() {
    return json::value_to<std::vector<WeightVersion>>(next());
  }

private:
  const json::array &From;
  std::size_t Place = 0;
};

BatchItem readSketch(const json::array &From) {
  ArrayReader at(From);
  BatchItem item;
  item.Id = ItemId(at.text());
  item.Group = at.text();
  item.ExpectedTokens = at.next().to_number<double>();
  return item;
}

BatchItem readItem(const json::object &From) {
  BatchItem item;
  item.Id = ItemId(textOf(From, "id"));
  item.Group = textOf(From, "group");
  item.ExpectedTokens = From.at("expect").to_number<double>();
  item.Path = textOf(From, "path");
  for (const json::value &it : From.at("headers").as_array()) {
    const json::array &pair = it.as_array();
    item.Headers.push_back({plainText(pair.at(0)), plainText(pair.at(1))});
  }
  item.Body = bytesOf(From.at("body"));
  const json::value *score = From.if_contains("score");
  if (score != nullptr) {
    const json::array &parts = score->as_array();
    item.Score = ScoreRequest{plainText(parts.at(0)), plainText(parts.at(1)),
                              plainText(parts.at(2)), bytesOf(parts.at(3))};
  }
  return item;
}

BatchRecord readJob(const json::object &From) {
  JobPart part;
  part.Part = static_cast<std::uint32_t>(numberOf(From, "part"));
  part.Parts = static_cast<std::uint32_t>(numberOf(From, "parts"));
  part.Job.Id = jobOf(From.at("job"));
  part.Job.Host = textOf(From, "host");
  part.Job.Path = textOf(From, "path");
  part.Job.Model = ModelName(textOf(From, "model"));
  part.Job.Step = numberOf(From, "step");
  part.Job.MinVersion = numberOf(From, "min");
  part.Job.TargetGroups = numberOf(From, "groups");
  part.ItemsLocation = placeOf(From.at("at"));
  for (const json::value &it : From.at("items").as_array())
    part.Job.Items.push_back(part.ItemsLocation.empty()
                                 ? readItem(it.as_object())
                                 : readSketch(it.as_array()));
  return part;
}

BatchRecord readResult(ArrayReader &From) {
  ResultRecord record;
  record.Job = jobOf(From.next());
  record.Result.Item = ItemId(From.text());
  record.Result.Status =
      From.next().as_bool() ? ItemStatus::Completed : ItemStatus::Terminated;
  record.Result.Output = From.text();
  record.Result.OutputLocation = placeOf(From.next());
  record.Result.Versions = From.versions();
  record.Result.Score = From.text();
  return record;
}

BatchRecord readText(ArrayReader &From) {
  PartialTextRecord record;
  record.Job = jobOf(From.next());
  record.Item = ItemId(From.text());
  record.Source = From.number();
  record.After = From.number();
  record.Text.Output = From.text();
  record.OutputLocation = placeOf(From.next());
  record.Text.Events = From.number();
  record.Text.IsComplete = From.next().as_bool();
  record.Text.Versions = From.versions();
  return record;
}

LeaseHolder readHolder(const json::object &From) {
  return {InstanceName(textOf(From, "holder")), numberOf(From, "life")};
}

BatchRecord readClaim(const json::object &From) {
  LeaseClaim claim{readHolder(From)};
  if (From.contains("after"))
    claim.After = numberOf(From, "after");
  return claim;
}

BatchRecord readRecord(const json::object &From) {
  std::string kind = textOf(From, "kind");
  if (kind == "job")
    return readJob(From);
  if (kind == "end")
    return JobEnd{jobOf(From.at("job"))};
  if (kind == "claim")
    return readClaim(From);
  if (kind == "renew")
    return LeaseRenewal{numberOf(From, "term"), readHolder(From)};
  if (kind == "release")
    return LeaseRelease{numberOf(From, "term")};
  throw std::invalid_argument("unknown kind '" + kind + "'");
}

BatchRecord readTagged(ArrayReader &From, const std::string &Tag) {
  if (Tag == ResultTag)
    return readResult(From);
  if (Tag == TextTag)
    return readText(From);
  throw std::invalid_argument("unknown kind '" + Tag + "'");
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
  for (const ForwardedHeader &it : Item.Headers)
    bytes += PerHeader + it.Name.size() + it.Value.size();
  if (Item.Score)
    bytes += Item.Score->Path.size() + Item.Score->Body.size() * 4 / 3;
  return bytes;
}

} // namespace

std::string encodeRecord(const BatchRecord &What) {
  json::value fields = std::visit(
      [](const auto &Kind) { return json::value(fieldsOf(Kind)); }, What);
  // Records that name no job read alike in both.
  if (json::object *members = fields.if_object())
    members->emplace("schema", SchemaWithoutCustomer);
  return json::serialize(fields);
}

namespace {

Result<void> checkSchema(std::uint64_t Found, const std::string &Place) {
  if (Found <= Schema)
    return {};
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::NewerSchema,
                                        Place,
                                        "written by a later release",
                                        {}});
}

} // namespace

Result<BatchRecord> decodeRecord(std::string_view Text,
                                 const std::string &Place) {
  try {
    json::value value = parseText(Text);
    if (const json::array *members = value.if_array()) {
      ArrayReader from(*members);
      std::string tag = from.text();
      BOOST_LEAF_CHECK(checkSchema(from.number(), Place));
      return readTagged(from, tag);
    }
    const json::object &fields = value.as_object();
    BOOST_LEAF_CHECK(checkSchema(numberOf(fields, "schema"), Place));
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
