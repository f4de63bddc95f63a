#include "Wasabi/State/Record.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

#include <set>

namespace wasabi {

namespace {

/// Kinds of records, in the order of `RecordBody`.
constexpr std::string_view KindNames[] = {
    "config_change", "claim_take", "claim_renew", "claim_release", "snapshot"};

constexpr std::uint64_t MaxTermMs = 3600000;
constexpr std::size_t MaxAuthorBytes = 256;
constexpr std::size_t HashDigits = 32;
constexpr char RecordPlace[] = "record";

std::string member(std::string_view Key, std::string_view Text) {
  return quoted(Key) + ":" + quoted(Text);
}

std::string member(std::string_view Key, std::uint64_t Number) {
  return quoted(Key) + ":" + std::to_string(Number);
}

std::string encodeWrite(const ObjectWrite &Value) {
  std::string out = "{" + member("key", Value.Key);
  if (Value.Text)
    out += "," + member("text", *Value.Text);
  return out + "}";
}

std::string encodeBody(const ConfigChange &Value) {
  std::string reads;
  for (const std::string &key : Value.Reads)
    reads += (reads.empty() ? "" : ",") + quoted(key);
  std::string writes;
  for (const ObjectWrite &write : Value.Writes)
    writes += (writes.empty() ? "" : ",") + encodeWrite(write);
  return member("base", Value.Base) + ",\"reads\":[" + reads +
         "],\"writes\":[" + writes + "]," + member("operator", Value.Operator) +
         "," + member("message", Value.Message);
}

std::string encodeBody(const ClaimAcquire &Value) {
  return member("resource", Value.Resource) + "," +
         member("replaces", Value.ReplacedToken) + "," +
         member("term_ms", static_cast<std::uint64_t>(Value.Term.count())) +
         "," + member("seen", Value.SeenRenewalOffset);
}

std::string encodeBody(const ClaimRenew &Value) {
  return member("resource", Value.Resource) + "," +
         member("token", Value.Token);
}

std::string encodeBody(const ClaimRelease &Value) {
  return member("resource", Value.Resource) + "," +
         member("token", Value.Token);
}

std::string encodeBody(const SnapshotRecord &Value) {
  return member("before", Value.Before) + "," + member("hash", Value.Hash) +
         "," + member("chain", Value.ChainHash) + "," +
         member("state", Value.State) + "," + member("token", Value.Token);
}

RecordId readId(JsonReader Reader, JsonReader &Parent) {
  RecordId out;
  out.Author = Reader.text("author");
  out.Life = Reader.number("life");
  out.Sequence = Reader.number("sequence");
  if (out.Author.empty() || out.Author.size() > MaxAuthorBytes)
    Reader.fail("author", "must be 1 to 256 bytes");
  Parent.mergeError(Reader);
  return out;
}

ConfigChange readConfigChange(JsonReader &Reader) {
  ConfigChange out;
  std::set<std::string> written;
  out.Base = Reader.number("base");
  out.Reads = Reader.texts("reads", true);
  for (JsonReader &part : Reader.objects("writes", true)) {
    ObjectWrite write;
    write.Key = part.text("key");
    if (part.has("text"))
      write.Text = part.text("text");
    if (!written.insert(write.Key).second)
      part.fail("key", "is written twice");
    Reader.mergeError(part);
    out.Writes.push_back(std::move(write));
  }
  if (out.Writes.empty() || out.Writes.size() > MaxChangeKeys)
    Reader.fail("writes", "must be 1 to 2000 objects");
  if (out.Reads.size() > MaxChangeKeys)
    Reader.fail("reads", "must be at most 2000 keys");
  out.Operator = Reader.text("operator");
  if (out.Operator.size() > MaxOperatorBytes)
    Reader.fail("operator", "must be at most 128 bytes");
  out.Message = Reader.text("message");
  if (out.Message.size() > MaxMessageBytes)
    Reader.fail("message", "must be at most 1024 bytes");
  return out;
}

/// Reads the resource of a claim: `snapshots`, `trainer/NAME` or
/// `weights/MODEL`.
std::string readResource(JsonReader &Reader) {
  std::string out = Reader.text("resource");
  bool named = (out.starts_with("trainer/") || out.starts_with("weights/")) &&
               out.size() > sizeof("trainer/") - 1 &&
               out.size() <= MaxAuthorBytes;
  if (out != "snapshots" && !named)
    Reader.fail("resource", "must be trainer/NAME, weights/MODEL or snapshots");
  return out;
}

ClaimAcquire readClaimAcquire(JsonReader &Reader) {
  ClaimAcquire out;
  out.Resource = readResource(Reader);
  out.ReplacedToken = Reader.number("replaces");
  out.Term = Millis(Reader.number("term_ms", 1, MaxTermMs));
  out.SeenRenewalOffset = Reader.number("seen");
  return out;
}

ClaimRenew readClaimRenew(JsonReader &Reader) {
  ClaimRenew out;
  out.Resource = readResource(Reader);
  out.Token = Reader.number("token");
  return out;
}

ClaimRelease readClaimRelease(JsonReader &Reader) {
  ClaimRelease out;
  out.Resource = readResource(Reader);
  out.Token = Reader.number("token");
  return out;
}

SnapshotRecord readSnapshot(JsonReader &Reader) {
  SnapshotRecord out;
  out.Before = Reader.number("before");
  out.Hash = Reader.text("hash");
  if (out.Hash.size() != HashDigits)
    Reader.fail("hash", "must be 32 hex digits");
  out.ChainHash = Reader.number("chain");
  out.State = Reader.text("state");
  out.Token = Reader.number("token");
  return out;
}

RecordBody readBody(JsonReader &Reader, std::size_t Kind) {
  switch (Kind) {
  case 0:
    return readConfigChange(Reader);
  case 1:
    return readClaimAcquire(Reader);
  case 2:
    return readClaimRenew(Reader);
  case 3:
    return readClaimRelease(Reader);
  default:
    return readSnapshot(Reader);
  }
}

/// Returns the index of a kind; empty for a kind of a newer program.
std::optional<std::size_t> findKindIndex(std::string_view KindName) {
  for (std::size_t i = 0; i < std::size(KindNames); ++i)
    if (KindNames[i] == KindName)
      return i;
  return std::nullopt;
}

boost::leaf::error_id newerSchemaError(std::string Place, std::string Reason) {
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::NewerSchema,
                                        std::move(Place),
                                        std::move(Reason),
                                        {}});
}

} // namespace

std::string encodeRecord(const Record &Value) {
  std::string body =
      std::visit([](const auto &Body) { return encodeBody(Body); }, Value.Body);
  return "{" + member("schema", RecordSchema) + "," +
         member("kind", KindNames[Value.Body.index()]) + ",\"id\":{" +
         member("author", Value.Id.Author) + "," +
         member("life", Value.Id.Life) + "," +
         member("sequence", Value.Id.Sequence) + "},\"body\":{" + body + "}}";
}

Result<Record> decodeRecord(std::string_view Text) {
  BOOST_LEAF_AUTO(value, parseJson(Text, RecordPlace));
  JsonReader reader(value, RecordPlace);
  std::uint64_t schema = reader.number("schema", 1);
  // Other members of a newer schema are unknown to this program and not
  // checked.
  if (schema > RecordSchema)
    return newerSchemaError("record: /schema",
                            "schema " + std::to_string(schema) +
                                " is newer than " +
                                std::to_string(RecordSchema));
  std::string kindName = reader.text("kind");
  std::optional<std::size_t> kind = findKindIndex(kindName);
  bool hasEnvelope = value.is_object() && reader.has("schema") &&
                     reader.has("id") && reader.has("body");
  if (!kind && hasEnvelope && !kindName.empty())
    return newerSchemaError("record: /kind",
                            "'" + kindName + "' is not known here");

  Record out;
  out.Id = readId(reader.object("id"), reader);
  JsonReader body = reader.object("body");
  out.Body = readBody(body, kind.value_or(0));
  reader.mergeError(body);
  BOOST_LEAF_CHECK(reader.finish());
  return out;
}

} // namespace wasabi
