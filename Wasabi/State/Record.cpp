#include "Wasabi/State/Record.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

#include <set>

namespace wasabi {

namespace {

/// The kinds of records in the order of `RecordBody`.
constexpr std::string_view KindWords[] = {
    "config_change", "claim_take", "claim_renew", "claim_release", "snapshot"};

constexpr std::uint64_t MaxTermMs = 3600000;
constexpr std::size_t MaxAuthor = 256;
constexpr std::size_t HashDigits = 32;
constexpr char WholeRecord[] = "record";

std::string member(std::string_view Key, std::string_view Text) {
  return quoted(Key) + ":" + quoted(Text);
}

std::string member(std::string_view Key, std::uint64_t Number) {
  return quoted(Key) + ":" + std::to_string(Number);
}

std::string encodeWrite(const ObjectWrite &What) {
  std::string out = "{" + member("key", What.Key);
  if (What.Text)
    out += "," + member("text", *What.Text);
  return out + "}";
}

std::string encodeBody(const ConfigChange &What) {
  std::string reads;
  for (const std::string &key : What.Reads)
    reads += (reads.empty() ? "" : ",") + quoted(key);
  std::string writes;
  for (const ObjectWrite &write : What.Writes)
    writes += (writes.empty() ? "" : ",") + encodeWrite(write);
  return member("base", What.Base) + ",\"reads\":[" + reads + "],\"writes\":[" +
         writes + "]," + member("operator", What.Operator) + "," +
         member("message", What.Message);
}

std::string encodeBody(const ClaimAcquire &What) {
  return member("resource", What.Resource) + "," +
         member("replaces", What.ReplacedToken) + "," +
         member("term_ms", static_cast<std::uint64_t>(What.Term.count())) +
         "," + member("seen", What.Seen);
}

std::string encodeBody(const ClaimRenew &What) {
  return member("resource", What.Resource) + "," + member("token", What.Token);
}

std::string encodeBody(const ClaimRelease &What) {
  return member("resource", What.Resource) + "," + member("token", What.Token);
}

std::string encodeBody(const SnapshotRecord &What) {
  return member("before", What.Before) + "," + member("hash", What.Hash) + "," +
         member("chain", What.ChainHash) + "," + member("state", What.State) +
         "," + member("token", What.Token);
}

RecordId readId(JsonReader Reader, JsonReader &Whole) {
  RecordId out;
  out.Author = Reader.text("author");
  out.Life = Reader.number("life");
  out.Sequence = Reader.number("sequence");
  if (out.Author.empty() || out.Author.size() > MaxAuthor)
    Reader.fail("author", "must be 1 to 256 bytes");
  Whole.mergeError(Reader);
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

/// A resource that may be claimed: `snapshots`, or a duty with a name.
std::string readResource(JsonReader &Reader) {
  std::string out = Reader.text("resource");
  bool named = (out.starts_with("trainer/") || out.starts_with("weights/")) &&
               out.size() > sizeof("trainer/") - 1 && out.size() <= MaxAuthor;
  if (out != "snapshots" && !named)
    Reader.fail("resource", "must be trainer/NAME, weights/MODEL or snapshots");
  return out;
}

ClaimAcquire readClaimTake(JsonReader &Reader) {
  ClaimAcquire out;
  out.Resource = readResource(Reader);
  out.ReplacedToken = Reader.number("replaces");
  out.Term = Millis(Reader.number("term_ms", 1, MaxTermMs));
  out.Seen = Reader.number("seen");
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
    return readClaimTake(Reader);
  case 2:
    return readClaimRenew(Reader);
  case 3:
    return readClaimRelease(Reader);
  default:
    return readSnapshot(Reader);
  }
}

/// The index of a kind's word; none for a word of a newer program.
std::optional<std::size_t> kindIndex(std::string_view Word) {
  for (std::size_t i = 0; i < std::size(KindWords); ++i)
    if (KindWords[i] == Word)
      return i;
  return std::nullopt;
}

boost::leaf::error_id newer(std::string Place, std::string Reason) {
  return boost::leaf::new_error(Failure{Verdict::NotRun,
                                        FailureCode::NewerSchema,
                                        std::move(Place),
                                        std::move(Reason),
                                        {}});
}

} // namespace

std::string encodeRecord(const Record &What) {
  std::string body =
      std::visit([](const auto &Body) { return encodeBody(Body); }, What.Body);
  return "{" + member("schema", RecordSchema) + "," +
         member("kind", KindWords[What.Body.index()]) + ",\"id\":{" +
         member("author", What.Id.Author) + "," + member("life", What.Id.Life) +
         "," + member("sequence", What.Id.Sequence) + "},\"body\":{" + body +
         "}}";
}

Result<Record> decodeRecord(std::string_view Text) {
  BOOST_LEAF_AUTO(value, parseJson(Text, WholeRecord));
  JsonReader reader(value, WholeRecord);
  std::uint64_t schema = reader.number("schema", 1);
  // What a newer schema holds besides is not for this program to judge.
  if (schema > RecordSchema)
    return newer("record: /schema", "schema " + std::to_string(schema) +
                                        " is newer than " +
                                        std::to_string(RecordSchema));
  std::string word = reader.text("kind");
  std::optional<std::size_t> kind = kindIndex(word);
  bool envelope = value.is_object() && reader.has("schema") &&
                  reader.has("id") && reader.has("body");
  if (!kind && envelope && !word.empty())
    return newer("record: /kind", "'" + word + "' is not known here");

  Record out;
  out.Id = readId(reader.object("id"), reader);
  JsonReader body = reader.object("body");
  out.Body = readBody(body, kind.value_or(0));
  reader.mergeError(body);
  BOOST_LEAF_CHECK(reader.finish());
  return out;
}

} // namespace wasabi
