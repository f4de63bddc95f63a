#include "Wasabi/Batch/BatchRecord.h"

#include "Wasabi/Core/Base64.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_from.hpp>
#include <boost/json/value_to.hpp>

#include <utility>

namespace wasabi {

namespace {

namespace json = boost::json;

/// Incremented when an older release could misread new records.
constexpr std::uint64_t CurrentSchema = 3;
/// Schema of records without a customer, which the previous release can read.
constexpr std::uint64_t SchemaWithoutCustomer = 2;
/// Tag that is the first member of a record encoded as an array.
constexpr std::string_view ResultTag = "result";
constexpr std::string_view TextTag = "text";
/// Upper bound of the encoded size of an item apart from its texts, in bytes.
constexpr std::size_t ItemOverheadBytes = 256;

//===--- Writing ----------------------------------------------------------===//

std::uint64_t schemaFor(const JobId &Job) {
  return Job.Customer.empty() ? SchemaWithoutCustomer : CurrentSchema;
}

/// The job's id as a string, or as an array if it has a customer.
json::value jobIdValue(const JobId &Id) {
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
  // An older release ignores members that it does not know.
  if (Item.PromptTokens > 0 || Item.MaxOutputTokens > 0)
    value["tokens"] = json::array{Item.PromptTokens, Item.MaxOutputTokens};
  if (Item.Score) {
    value["score"] =
        json::array{Item.Score->Id, Item.Score->Host, Item.Score->Path,
                    encodeBase64(Item.Score->Body)};
  }
  return value;
}

/// The fields of an item that every process needs if the item itself is stored
/// in the payload topic.
json::value itemSummaryValue(const BatchItem &Item) {
  return json::array{Item.Id.Text, Item.Group, Item.ExpectedTokens};
}

json::array locationValue(const PayloadLocation &Location) {
  json::array records;
  for (const PayloadRecordRef &it : Location)
    records.push_back(json::array{it.At, it.Bytes});
  return records;
}

json::object recordValue(const JobPart &Record) {
  json::array items;
  for (const BatchItem &it : Record.Job.Items)
    items.push_back(Record.ItemsLocation.empty() ? itemValue(it)
                                                 : itemSummaryValue(it));
  return {{"kind", "job"},
          {"schema", schemaFor(Record.Job.Id)},
          {"job", jobIdValue(Record.Job.Id)},
          {"part", Record.PartIndex},
          {"parts", Record.PartCount},
          {"host", Record.Job.Host},
          {"path", Record.Job.Path},
          {"model", Record.Job.Model.Text},
          {"step", Record.Job.Step},
          {"min", Record.Job.MinVersion},
          {"groups", Record.Job.TargetGroups},
          {"config", Record.Job.AdmittedUnder},
          {"at", locationValue(Record.ItemsLocation)},
          {"items", std::move(items)}};
}

/// Frequent records are arrays, to keep them short: every process reads all of
/// them.
json::value recordValue(const ResultRecord &Record) {
  return json::array{ResultTag,
                     schemaFor(Record.Job),
                     jobIdValue(Record.Job),
                     Record.Result.Item.Text,
                     Record.Result.Status == ItemStatus::Completed,
                     Record.Result.Output,
                     locationValue(Record.Result.OutputLocation),
                     json::value_from(Record.Result.Versions),
                     Record.Result.Score};
}

json::object recordValue(const JobEnd &Record) {
  return {{"kind", "end"},
          {"schema", schemaFor(Record.Job)},
          {"job", jobIdValue(Record.Job)}};
}

json::value recordValue(const PartialTextRecord &Record) {
  return json::array{TextTag,
                     schemaFor(Record.Job),
                     jobIdValue(Record.Job),
                     Record.Item.Text,
                     Record.Source,
                     Record.After,
                     Record.Text.Output,
                     locationValue(Record.OutputLocation),
                     Record.Text.Events,
                     Record.Text.IsComplete,
                     json::value_from(Record.Text.Versions)};
}

json::object recordValue(const LeaseClaim &Record) {
  json::object fields{{"kind", "claim"},
                      {"holder", Record.Holder.Instance.Text},
                      {"life", Record.Holder.Life}};
  if (Record.After)
    fields["after"] = *Record.After;
  return fields;
}

json::object recordValue(const LeaseRenewal &Record) {
  return {{"kind", "renew"},
          {"term", Record.Term},
          {"holder", Record.Holder.Instance.Text},
          {"life", Record.Holder.Life}};
}

json::object recordValue(const LeaseRelease &Record) {
  return {{"kind", "release"}, {"term", Record.Term}};
}

//===--- Reading ----------------------------------------------------------===//
// Missing or mistyped members throw inside Boost.JSON; `decodeRecord` converts
// the exceptions to errors.

std::string readString(const json::object &Object, std::string_view Key) {
  const json::string &text = Object.at(Key).as_string();
  return std::string(text.data(), text.size());
}

std::uint64_t readNumber(const json::object &Object, std::string_view Key) {
  return Object.at(Key).to_number<std::uint64_t>();
}

std::string readBytes(const json::value &Value) {
  const json::string &text = Value.as_string();
  std::optional<std::string> bytes = decodeBase64({text.data(), text.size()});
  if (!bytes)
    throw std::invalid_argument("not valid base64");
  return std::move(*bytes);
}

std::string toStdString(const json::value &Value) {
  const json::string &text = Value.as_string();
  return std::string(text.data(), text.size());
}

PayloadLocation readLocation(const json::value &Value) {
  PayloadLocation location;
  for (const json::value &it : Value.as_array())
    location.push_back(
        {it.at(0).to_number<Offset>(), it.at(1).to_number<std::uint64_t>()});
  return location;
}

JobId readJobId(const json::value &Value) {
  if (Value.is_string())
    return JobId(toStdString(Value));
  return JobId(toStdString(Value.at(1)),
               CustomerName(toStdString(Value.at(0))));
}

/// Reads the members of an array in order.
class ArrayReader {
public:
  explicit ArrayReader(const json::array &Members) : Members(Members) {}

  const json::value &next() { return Members.at(Index++); }
  std::string text() { return toStdString(next()); }
  std::uint64_t number() { return next().to_number<std::uint64_t>(); }
  std::vector<WeightVersion> versions() {
    return json::value_to<std::vector<WeightVersion>>(next());
  }

private:
  const json::array &Members;
  std::size_t Index = 0;
};

BatchItem readItemSummary(const json::array &Members) {
  ArrayReader reader(Members);
  BatchItem item;
  item.Id = ItemId(reader.text());
  item.Group = reader.text();
  item.ExpectedTokens = reader.next().to_number<double>();
  return item;
}

BatchItem readItem(const json::object &Object) {
  BatchItem item;
  item.Id = ItemId(readString(Object, "id"));
  item.Group = readString(Object, "group");
  item.ExpectedTokens = Object.at("expect").to_number<double>();
  const json::value *tokens = Object.if_contains("tokens");
  if (tokens != nullptr) {
    item.PromptTokens = tokens->at(0).to_number<std::uint32_t>();
    item.MaxOutputTokens = tokens->at(1).to_number<std::uint32_t>();
  }
  item.Path = readString(Object, "path");
  for (const json::value &it : Object.at("headers").as_array()) {
    const json::array &pair = it.as_array();
    item.Headers.push_back({toStdString(pair.at(0)), toStdString(pair.at(1))});
  }
  item.Body = readBytes(Object.at("body"));
  const json::value *score = Object.if_contains("score");
  if (score != nullptr) {
    const json::array &parts = score->as_array();
    item.Score =
        ScoreRequest{toStdString(parts.at(0)), toStdString(parts.at(1)),
                     toStdString(parts.at(2)), readBytes(parts.at(3))};
  }
  return item;
}

BatchRecord readJob(const json::object &Object) {
  JobPart part;
  part.PartIndex = static_cast<std::uint32_t>(readNumber(Object, "part"));
  part.PartCount = static_cast<std::uint32_t>(readNumber(Object, "parts"));
  part.Job.Id = readJobId(Object.at("job"));
  part.Job.Host = readString(Object, "host");
  part.Job.Path = readString(Object, "path");
  part.Job.Model = ModelName(readString(Object, "model"));
  part.Job.Step = readNumber(Object, "step");
  part.Job.MinVersion = readNumber(Object, "min");
  part.Job.TargetGroups = readNumber(Object, "groups");
  // Records of an earlier release lack it.
  if (Object.contains("config"))
    part.Job.AdmittedUnder = readNumber(Object, "config");
  part.ItemsLocation = readLocation(Object.at("at"));
  for (const json::value &it : Object.at("items").as_array())
    part.Job.Items.push_back(part.ItemsLocation.empty()
                                 ? readItem(it.as_object())
                                 : readItemSummary(it.as_array()));
  return part;
}

BatchRecord readResult(ArrayReader &Reader) {
  ResultRecord record;
  record.Job = readJobId(Reader.next());
  record.Result.Item = ItemId(Reader.text());
  record.Result.Status =
      Reader.next().as_bool() ? ItemStatus::Completed : ItemStatus::Terminated;
  record.Result.Output = Reader.text();
  record.Result.OutputLocation = readLocation(Reader.next());
  record.Result.Versions = Reader.versions();
  record.Result.Score = Reader.text();
  return record;
}

BatchRecord readText(ArrayReader &Reader) {
  PartialTextRecord record;
  record.Job = readJobId(Reader.next());
  record.Item = ItemId(Reader.text());
  record.Source = Reader.number();
  record.After = Reader.number();
  record.Text.Output = Reader.text();
  record.OutputLocation = readLocation(Reader.next());
  record.Text.Events = Reader.number();
  record.Text.IsComplete = Reader.next().as_bool();
  record.Text.Versions = Reader.versions();
  return record;
}

LeaseHolder readHolder(const json::object &Object) {
  return {InstanceName(readString(Object, "holder")),
          readNumber(Object, "life")};
}

BatchRecord readClaim(const json::object &Object) {
  LeaseClaim claim{readHolder(Object)};
  if (Object.contains("after"))
    claim.After = readNumber(Object, "after");
  return claim;
}

BatchRecord readRecord(const json::object &Object) {
  std::string kind = readString(Object, "kind");
  if (kind == "job")
    return readJob(Object);
  if (kind == "end")
    return JobEnd{readJobId(Object.at("job"))};
  if (kind == "claim")
    return readClaim(Object);
  if (kind == "renew")
    return LeaseRenewal{readNumber(Object, "term"), readHolder(Object)};
  if (kind == "release")
    return LeaseRelease{readNumber(Object, "term")};
  throw std::invalid_argument("unknown kind '" + kind + "'");
}

BatchRecord readTagged(ArrayReader &Reader, const std::string &Tag) {
  if (Tag == ResultTag)
    return readResult(Reader);
  if (Tag == TextTag)
    return readText(Reader);
  throw std::invalid_argument("unknown kind '" + Tag + "'");
}

json::value parseText(std::string_view Text) {
  json::parse_options options;
  // Generated text is passed through unchanged, whatever its encoding.
  options.allow_invalid_utf8 = true;
  return json::parse({Text.data(), Text.size()}, json::storage_ptr(), options);
}

std::size_t estimateItemBytes(const BatchItem &Item) {
  constexpr std::size_t HeaderOverheadBytes = 16;
  std::size_t bytes = ItemOverheadBytes + Item.Path.size() + Item.Group.size() +
                      Item.Body.size() * 4 / 3;
  for (const ForwardedHeader &it : Item.Headers)
    bytes += HeaderOverheadBytes + it.Name.size() + it.Value.size();
  if (Item.Score)
    bytes += Item.Score->Path.size() + Item.Score->Body.size() * 4 / 3;
  return bytes;
}

} // namespace

std::string encodeRecord(const BatchRecord &Record) {
  json::value fields = std::visit(
      [](const auto &Alternative) {
        return json::value(recordValue(Alternative));
      },
      Record);
  // Records without a job id are the same in both schemas.
  if (json::object *members = fields.if_object())
    members->emplace("schema", SchemaWithoutCustomer);
  return json::serialize(fields);
}

namespace {

Result<void> checkSchema(std::uint64_t RecordSchema, const std::string &Place) {
  if (RecordSchema <= CurrentSchema)
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
    BOOST_LEAF_CHECK(checkSchema(readNumber(fields, "schema"), Place));
    return readRecord(fields);
  } catch (const std::exception &Error) {
    return badInput(Place, Error.what());
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
  } catch (const std::exception &Error) {
    return badInput(Place, Error.what());
  }
}

std::vector<JobPart> splitJob(BatchJob Job, std::size_t MaxBytes) {
  std::vector<BatchItem> items = std::exchange(Job.Items, {});
  std::vector<JobPart> parts;
  std::size_t bytes = MaxBytes;
  for (BatchItem &it : items) {
    std::size_t itemBytes = estimateItemBytes(it);
    if (bytes + itemBytes > MaxBytes) {
      JobPart part;
      part.Job = Job;
      parts.push_back(std::move(part));
      bytes = 0;
    }
    bytes += itemBytes;
    parts.back().Job.Items.push_back(std::move(it));
  }
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].PartIndex = static_cast<std::uint32_t>(i);
    parts[i].PartCount = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

} // namespace wasabi
