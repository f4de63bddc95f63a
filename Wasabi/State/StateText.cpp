#include "Wasabi/State/StateText.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

namespace wasabi {

namespace {

constexpr std::uint32_t StateSchema = 1;
constexpr char StatePlace[] = "state";

std::string member(std::string_view Key, std::string_view Text) {
  return quoted(Key) + ":" + quoted(Text);
}

std::string member(std::string_view Key, std::uint64_t Number) {
  return quoted(Key) + ":" + std::to_string(Number);
}

/// Appends `"Key":[...]` with the encoded entries of a container.
template <typename Entries, typename Encode>
void appendArray(std::string &Out, std::string_view Key,
                 const Entries &Container, const Encode &EncodeEntry) {
  Out += "," + quoted(Key) + ":[";
  bool first = true;
  for (const auto &entry : Container) {
    if (!first)
      Out += ',';
    first = false;
    Out += EncodeEntry(entry);
  }
  Out += ']';
}

RecordStatus readStatus(JsonReader &Reader, std::string_view Key) {
  return static_cast<RecordStatus>(Reader.enumIndex(
      Key, {"accepted", "refused", "repeated", "malformed", "newer"}, true));
}

void readObjects(JsonReader &Reader, FoldState &State) {
  for (JsonReader &part : Reader.objects("objects", true)) {
    std::string key = part.text("key");
    StoredObject object;
    object.WriteOffset = part.number("written_at");
    object.Operator = part.text("by");
    if (const boost::json::value *value = part.requiredValue("object")) {
      Outcome<std::string> text = toOutcome<std::string>(
          [&] { return canonicalText(*value, StatePlace); });
      if (text)
        object.Text = *text;
      else
        part.fail("object", text.failure().Reason);
    }
    Reader.mergeError(part);
    State.Objects.emplace(std::move(key), std::move(object));
  }
}

void readRemoved(JsonReader &Reader, FoldState &State) {
  for (JsonReader &part : Reader.objects("removed", true)) {
    std::string key = part.text("key");
    RemovedObject removed{part.number("at"), part.text("by")};
    Reader.mergeError(part);
    State.Removed.emplace(std::move(key), std::move(removed));
  }
}

void readClaims(JsonReader &Reader, FoldState &State) {
  for (JsonReader &part : Reader.objects("claims", true)) {
    std::string resource = part.text("resource");
    Claim claim;
    claim.Holder = InstanceName(part.text("holder"));
    claim.HolderIncarnation = part.number("life");
    claim.Token = part.number("token");
    claim.Term = Millis(part.number("term_ms"));
    claim.RenewalOffset = part.number("renewed_at");
    claim.Released = part.boolean("released", false);
    Reader.mergeError(part);
    State.Claims.emplace(std::move(resource), std::move(claim));
  }
}

void readAuthors(JsonReader &Reader, FoldState &State) {
  for (JsonReader &part : Reader.objects("authors", true)) {
    std::string author = part.text("author");
    AuthorLogProgress progress;
    progress.Life = part.number("life");
    progress.Sequence = part.number("sequence");
    progress.At = part.number("at");
    progress.ApplyStatus = readStatus(part, "fate");
    Reader.mergeError(part);
    State.Authors.emplace(std::move(author), progress);
  }
}

void readHistory(JsonReader &Reader, FoldState &State) {
  for (JsonReader &part : Reader.objects("history", true)) {
    HistoryEntry entry;
    entry.At = part.number("at");
    entry.Id = RecordId{part.text("author"), part.number("life"),
                        part.number("sequence")};
    entry.ApplyStatus = readStatus(part, "fate");
    entry.Operator = part.text("operator");
    entry.Message = part.text("message");
    entry.Keys = part.texts("keys", true);
    entry.Reason = part.text("reason");
    Reader.mergeError(part);
    State.History.push_back(std::move(entry));
  }
}

/// Rebuilds the members that are not encoded.
Result<void> rebuildDerivedMembers(FoldState &State) {
  ObjectTexts texts;
  for (const auto &[key, object] : State.Objects)
    texts.emplace(key, object.Text);
  BOOST_LEAF_AUTO(config, buildConfiguration(texts));
  State.Config = std::make_shared<const Configuration>(std::move(config));
  State.RecentChainHashes.push_back(State.ChainHash);
  return {};
}

} // namespace

std::string encodeClaim(const std::string &Resource, const Claim &Value) {
  return "{" + member("resource", Resource) + "," +
         member("holder", Value.Holder.Text) + "," +
         member("life", Value.HolderIncarnation) + "," +
         member("token", Value.Token) + "," +
         member("term_ms", static_cast<std::uint64_t>(Value.Term.count())) +
         "," + member("renewed_at", Value.RenewalOffset) +
         ",\"released\":" + (Value.Released ? "true" : "false") + "}";
}

std::string encodeAuthor(const std::string &Author,
                         const AuthorLogProgress &Progress) {
  return "{" + member("author", Author) + "," + member("life", Progress.Life) +
         "," + member("sequence", Progress.Sequence) + "," +
         member("at", Progress.At) + "," +
         member("fate", toText(Progress.ApplyStatus)) + "}";
}

std::string encodeRemoved(const std::string &Key, const RemovedObject &Value) {
  return "{" + member("key", Key) + "," + member("at", Value.At) + "," +
         member("by", Value.Operator) + "}";
}

std::string encodeObject(const std::string &Key, const StoredObject &Value) {
  return "{" + member("key", Key) + "," +
         member("written_at", Value.WriteOffset) + "," +
         member("by", Value.Operator) + ",\"object\":" + Value.Text + "}";
}

std::string encodeHistoryEntry(const HistoryEntry &Entry) {
  std::string keys;
  for (const std::string &key : Entry.Keys)
    keys += (keys.empty() ? "" : ",") + quoted(key);
  return "{" + member("at", Entry.At) + "," +
         member("author", Entry.Id.Author) + "," +
         member("life", Entry.Id.Life) + "," +
         member("sequence", Entry.Id.Sequence) + "," +
         member("fate", toText(Entry.ApplyStatus)) + "," +
         member("operator", Entry.Operator) + "," +
         member("message", Entry.Message) + ",\"keys\":[" + keys + "]," +
         member("reason", Entry.Reason) + "}";
}

std::string encodeState(const FoldState &State) {
  std::string out = "{" + member("schema", StateSchema) + "," +
                    member("next", State.Next) + "," +
                    member("config_revision", State.ConfigRevision) + "," +
                    member("snapshot_revision", State.SnapshotRevision) + "," +
                    member("chain", State.ChainHash);
  auto encodePair = [](const auto &Encode) {
    return [Encode](const auto &Entry) {
      return Encode(Entry.first, Entry.second);
    };
  };
  appendArray(out, "objects", State.Objects, encodePair(encodeObject));
  appendArray(out, "removed", State.Removed, encodePair(encodeRemoved));
  appendArray(out, "claims", State.Claims, encodePair(encodeClaim));
  appendArray(out, "authors", State.Authors, encodePair(encodeAuthor));
  appendArray(out, "history", State.History, encodeHistoryEntry);
  return out + "}";
}

Result<FoldState> decodeState(std::string_view Text) {
  BOOST_LEAF_AUTO(value, parseJson(Text, StatePlace));
  JsonReader reader(value, StatePlace);
  if (reader.number("schema", 1) > StateSchema)
    return boost::leaf::new_error(Failure{Verdict::NotRun,
                                          FailureCode::NewerSchema,
                                          "state: /schema",
                                          "is newer than this program",
                                          {}});
  FoldState out;
  out.Next = reader.number("next");
  out.ConfigRevision = reader.number("config_revision");
  out.SnapshotRevision = reader.number("snapshot_revision");
  out.ChainHash = reader.number("chain");
  readObjects(reader, out);
  readRemoved(reader, out);
  readClaims(reader, out);
  readAuthors(reader, out);
  readHistory(reader, out);
  BOOST_LEAF_CHECK(reader.finish());
  BOOST_LEAF_CHECK(rebuildDerivedMembers(out));
  return out;
}

std::string_view toText(RecordStatus ApplyStatus) {
  constexpr std::string_view Names[] = {"accepted", "refused", "repeated",
                                        "malformed", "newer"};
  return Names[static_cast<std::size_t>(ApplyStatus)];
}

} // namespace wasabi
