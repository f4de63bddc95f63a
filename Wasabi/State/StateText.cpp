#include "Wasabi/State/StateText.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

namespace wasabi {

namespace {

constexpr std::uint32_t StateSchema = 1;
constexpr char WholeState[] = "state";

std::string member(std::string_view Key, std::string_view Text) {
  return quoted(Key) + ":" + quoted(Text);
}

std::string member(std::string_view Key, std::uint64_t Number) {
  return quoted(Key) + ":" + std::to_string(Number);
}

/// Appends `"Key":[...]` with the encoded entries of a container.
template <typename Entries, typename Encode>
void appendArray(std::string &Out, std::string_view Key, const Entries &From,
                 const Encode &One) {
  Out += "," + quoted(Key) + ":[";
  bool first = true;
  for (const auto &entry : From) {
    if (!first)
      Out += ',';
    first = false;
    Out += One(entry);
  }
  Out += ']';
}

RecordStatus readFate(JsonReader &Reader, std::string_view Key) {
  return static_cast<RecordStatus>(Reader.enumIndex(
      Key, {"accepted", "refused", "repeated", "malformed", "newer"}, true));
}

void readObjects(JsonReader &Reader, FoldState &Into) {
  for (JsonReader &part : Reader.objects("objects", true)) {
    std::string key = part.text("key");
    StoredObject object;
    object.WriteOffset = part.number("written_at");
    object.By = part.text("by");
    if (const boost::json::value *value = part.requiredValue("object")) {
      Outcome<std::string> text = toOutcome<std::string>(
          [&] { return canonicalText(*value, WholeState); });
      if (text)
        object.Text = *text;
      else
        part.fail("object", text.failure().Reason);
    }
    Reader.mergeError(part);
    Into.Objects.emplace(std::move(key), std::move(object));
  }
}

void readRemoved(JsonReader &Reader, FoldState &Into) {
  for (JsonReader &part : Reader.objects("removed", true)) {
    std::string key = part.text("key");
    RemovedObject gone{part.number("at"), part.text("by")};
    Reader.mergeError(part);
    Into.Removed.emplace(std::move(key), std::move(gone));
  }
}

void readClaims(JsonReader &Reader, FoldState &Into) {
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
    Into.Claims.emplace(std::move(resource), std::move(claim));
  }
}

void readAuthors(JsonReader &Reader, FoldState &Into) {
  for (JsonReader &part : Reader.objects("authors", true)) {
    std::string author = part.text("author");
    AuthorLogProgress mark;
    mark.Life = part.number("life");
    mark.Sequence = part.number("sequence");
    mark.At = part.number("at");
    mark.ApplyStatus = readFate(part, "fate");
    Reader.mergeError(part);
    Into.Authors.emplace(std::move(author), mark);
  }
}

void readHistory(JsonReader &Reader, FoldState &Into) {
  for (JsonReader &part : Reader.objects("history", true)) {
    HistoryEntry line;
    line.At = part.number("at");
    line.Id = RecordId{part.text("author"), part.number("life"),
                       part.number("sequence")};
    line.ApplyStatus = readFate(part, "fate");
    line.Operator = part.text("operator");
    line.Message = part.text("message");
    line.Keys = part.texts("keys", true);
    line.Reason = part.text("reason");
    Reader.mergeError(part);
    Into.History.push_back(std::move(line));
  }
}

/// Builds what is never encoded.
Result<void> rebuild(FoldState &State) {
  ObjectTexts texts;
  for (const auto &[key, object] : State.Objects)
    texts.emplace(key, object.Text);
  BOOST_LEAF_AUTO(whole, buildConfiguration(texts));
  State.Config = std::make_shared<const Configuration>(std::move(whole));
  State.RecentChainHashes.push_back(State.ChainHash);
  return {};
}

} // namespace

std::string encodeClaim(const std::string &Resource, const Claim &What) {
  return "{" + member("resource", Resource) + "," +
         member("holder", What.Holder.Text) + "," +
         member("life", What.HolderIncarnation) + "," +
         member("token", What.Token) + "," +
         member("term_ms", static_cast<std::uint64_t>(What.Term.count())) +
         "," + member("renewed_at", What.RenewalOffset) +
         ",\"released\":" + (What.Released ? "true" : "false") + "}";
}

std::string encodeAuthor(const std::string &Author,
                         const AuthorLogProgress &Mark) {
  return "{" + member("author", Author) + "," + member("life", Mark.Life) +
         "," + member("sequence", Mark.Sequence) + "," + member("at", Mark.At) +
         "," + member("fate", toText(Mark.ApplyStatus)) + "}";
}

std::string encodeRemoved(const std::string &Key, const RemovedObject &What) {
  return "{" + member("key", Key) + "," + member("at", What.At) + "," +
         member("by", What.By) + "}";
}

std::string encodeObject(const std::string &Key, const StoredObject &What) {
  return "{" + member("key", Key) + "," +
         member("written_at", What.WriteOffset) + "," + member("by", What.By) +
         ",\"object\":" + What.Text + "}";
}

std::string encodeHistoryEntry(const HistoryEntry &Line) {
  std::string keys;
  for (const std::string &key : Line.Keys)
    keys += (keys.empty() ? "" : ",") + quoted(key);
  return "{" + member("at", Line.At) + "," + member("author", Line.Id.Author) +
         "," + member("life", Line.Id.Life) + "," +
         member("sequence", Line.Id.Sequence) + "," +
         member("fate", toText(Line.ApplyStatus)) + "," +
         member("operator", Line.Operator) + "," +
         member("message", Line.Message) + ",\"keys\":[" + keys + "]," +
         member("reason", Line.Reason) + "}";
}

std::string encodeState(const FoldState &State) {
  std::string out = "{" + member("schema", StateSchema) + "," +
                    member("next", State.Next) + "," +
                    member("config_revision", State.ConfigRevision) + "," +
                    member("snapshot_revision", State.SnapshotRevision) + "," +
                    member("chain", State.ChainHash);
  auto pairOf = [](const auto &Encode) {
    return [Encode](const auto &Entry) {
      return Encode(Entry.first, Entry.second);
    };
  };
  appendArray(out, "objects", State.Objects, pairOf(encodeObject));
  appendArray(out, "removed", State.Removed, pairOf(encodeRemoved));
  appendArray(out, "claims", State.Claims, pairOf(encodeClaim));
  appendArray(out, "authors", State.Authors, pairOf(encodeAuthor));
  appendArray(out, "history", State.History, encodeHistoryEntry);
  return out + "}";
}

Result<FoldState> decodeState(std::string_view Text) {
  BOOST_LEAF_AUTO(value, parseJson(Text, WholeState));
  JsonReader reader(value, WholeState);
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
  BOOST_LEAF_CHECK(rebuild(out));
  return out;
}

std::string_view toText(RecordStatus ApplyStatus) {
  constexpr std::string_view Words[] = {"accepted", "refused", "repeated",
                                        "malformed", "newer"};
  return Words[static_cast<std::size_t>(ApplyStatus)];
}

} // namespace wasabi
