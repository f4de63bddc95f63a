#include "Wasabi/Quarantine/CrashTopic.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace wasabi {

namespace json = boost::json;

namespace {

json::object encodeServer(const ServerIncarnation &Server) {
  return {{"server", Server.Server.Text}, {"start", Server.Start}};
}

ServerIncarnation decodeServer(JsonReader &Reader) {
  return {ServerName(Reader.text("server")), Reader.number("start")};
}

} // namespace

std::string encodeCrashRecord(const CrashTopicRecord &Record) {
  json::array crashes;
  for (const ServerIncarnation &it : Record.Crashes) {
    json::object crash = encodeServer(it);
    if (Record.IsolatedCrashes.contains(it))
      crash["isolated"] = true;
    crashes.push_back(std::move(crash));
  }
  json::object record{{"ends", std::move(crashes)}};
  if (!Record.Losses.empty()) {
    json::array losses;
    for (const ServerLoss &it : Record.Losses) {
      json::object loss = encodeServer(it.Server);
      loss["holder"] = it.Holder;
      if (it.Isolated)
        loss["isolated"] = true;
      losses.push_back(std::move(loss));
    }
    record["losses"] = std::move(losses);
  }
  if (Record.Claim) {
    json::object claim = encodeServer(Record.Claim->Server);
    claim["holder"] = Record.Claim->Holder;
    record["run"] = std::move(claim);
  }
  return json::serialize(record);
}

Result<CrashTopicRecord> decodeCrashRecord(std::string_view Text,
                                           const std::string &Place) {
  BOOST_LEAF_AUTO(value, parseJson(Text, Place));
  JsonReader root(value, Place);
  root.allowUnknown();
  CrashTopicRecord record;
  for (JsonReader &it : root.objects("ends", true)) {
    it.allowUnknown();
    ServerIncarnation server = decodeServer(it);
    if (it.boolean("isolated", false))
      record.IsolatedCrashes.insert(server);
    record.Crashes.insert(std::move(server));
    root.mergeError(it);
  }
  for (JsonReader &it : root.objects("losses", false)) {
    it.allowUnknown();
    ServerIncarnation server = decodeServer(it);
    record.Losses.insert(ServerLoss{std::move(server), it.text("holder"),
                                    it.boolean("isolated", false)});
    root.mergeError(it);
  }
  if (root.has("run")) {
    JsonReader run = root.object("run");
    run.allowUnknown();
    record.Claim = RunClaim{decodeServer(run), run.text("holder")};
    root.mergeError(run);
  }
  BOOST_LEAF_CHECK(root.finish());
  return record;
}

} // namespace wasabi
