#include "IntegrationTests/Cases/RequestFixture.h"

#include "Wasabi/Config/Configuration.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/State/Record.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <catch2/catch.hpp>

#include <csignal>

namespace wasabi::test {
namespace {

namespace json = boost::json;

std::unique_ptr<harness::StandIn> startStandIn(std::string Role,
                                               std::vector<std::string> Flags) {
  harness::StandIn::Settings setup;
  setup.Role = std::move(Role);
  setup.Flags = std::move(Flags);
  return harness::StandIn::start(std::move(setup)).value();
}

/// Returns the number of servers that an entry sees as serving.
std::size_t countServing(const json::value &Status) {
  std::size_t count = 0;
  for (const json::value &member : Status.at("members").as_array()) {
    // A suspected member still receives requests.
    std::string_view state = member.at("state").as_string();
    if (state != "alive" && state != "suspect")
      continue;
    for (const json::value &it : member.at("servers").as_array())
      count += it.at("serving").as_bool() ? 1 : 0;
  }
  return count;
}

} // namespace

RequestFixture::RequestFixture()
    : Log(startStandIn("log", {})), Instances(startStandIn("instances", {})) {}

harness::StandIn &RequestFixture::addServer(const std::string &Name,
                                            const std::string &Role,
                                            std::vector<std::string> Flags) {
  Flags.push_back("--name=" + Name);
  Servers[Name] = startStandIn(Role, std::move(Flags));
  return *Servers[Name];
}

std::vector<std::string>
RequestFixture::platformFlags(const std::string &Name,
                              const std::string &Domain) {
  std::vector<std::string> flags = {
      "--instance=" + Name, "--failure_domain=" + Domain,
      "--log=" + toText(Log->address()),
      "--instances=" + toText(Instances->address())};
  if (!Seeds.empty())
    flags.push_back("--seeds=" + Seeds);
  return flags;
}

MemberProcess &RequestFixture::addDaemon(
    const std::string &Name, const std::string &Domain,
    const std::map<std::string, std::string> &ServiceByServer,
    const std::map<std::string, Address> &Proxies) {
  std::string upstreams;
  for (const std::pair<const std::string, std::string> &it : ServiceByServer) {
    std::map<std::string, Address>::const_iterator proxy =
        Proxies.find(it.first);
    Address where =
        proxy == Proxies.end() ? Servers[it.first]->address() : proxy->second;
    upstreams += (upstreams.empty() ? "" : ",") + it.first + "=" + it.second +
                 "@" + toText(where);
  }
  std::vector<std::string> flags = platformFlags(Name, Domain);
  flags.push_back("--upstreams=" + upstreams);
  MemberProcess &made = Members[Name];
  made.Child =
      harness::Process::start({"wasabi-daemon", flags, {}, ""}).value();
  made.ListenAddress = made.Child->waitForAddress("frames").value();
  made.Admin = made.Child->waitForAddress("admin").value();
  made.Control = made.Child->waitForAddress("control").value();
  Seeds = toText(made.Control);
  return made;
}

MemberProcess &RequestFixture::addEntry(const std::string &Name,
                                        const std::string &Domain,
                                        std::vector<std::string> Flags) {
  std::vector<std::string> flags = platformFlags(Name, Domain);
  flags.insert(flags.end(), Flags.begin(), Flags.end());
  MemberProcess &made = Members[Name];
  made.Child = harness::Process::start({"wasabi-entry", flags, {}, ""}).value();
  made.ListenAddress = made.Child->waitForAddress("listening").value();
  made.Admin = made.Child->waitForAddress("admin").value();
  made.Control = made.Child->waitForAddress("control").value();
  return made;
}

void RequestFixture::publish(const std::string &Declarations) {
  ObjectTexts texts = parseDeclarations("test", Declarations).value();
  ConfigChange change;
  change.Base = PublishedEnd;
  change.Operator = "test";
  for (const std::pair<const std::string, std::string> &it : texts)
    change.Writes.push_back(ObjectWrite{it.first, it.second});
  Record record{RecordId{"test", 1, ++PublishedRecords}, change};
  Outcome<http::Response> appended = harness::postJson(
      Log->address(), "/v1/streams/control/records", encodeRecord(record));
  REQUIRE(appended);
  json::value answer = json::parse(appended->Body);
  PublishedEnd = answer.at("offset").to_number<std::uint64_t>() + 1;
}

void RequestFixture::waitForServers(std::size_t Count) {
  for (const std::pair<const std::string, MemberProcess> &it : Members) {
    bool entry =
        it.second.Child->output().find("listening") != std::string::npos;
    bool seen = harness::waitUntil(
        [&] {
          if (!it.second.Child->running())
            return true;
          Outcome<json::value> status =
              harness::getJson(it.second.Admin, "/status");
          if (!status)
            return false;
          std::uint64_t next = status->at("next").to_number<std::uint64_t>();
          return next >= PublishedEnd &&
                 (!entry || countServing(*status) == Count);
        },
        WaitTimeout);
    INFO(it.first);
    REQUIRE(seen);
  }
}

std::size_t RequestFixture::runs(const std::string &Server) {
  Outcome<json::value> truth = Servers[Server]->truth();
  REQUIRE(truth);
  return truth->at("runs").as_array().size();
}

void RequestFixture::kill(const std::string &Name) {
  Members[Name].Child->signal(SIGKILL);
  REQUIRE(Members[Name].Child->wait(WaitTimeout));
}

Outcome<http::Response> RequestFixture::sendRequest(const std::string &Entry,
                                                    http::Request Request,
                                                    Millis Timeout) {
  return harness::call(Members[Entry].ListenAddress, std::move(Request),
                       Timeout);
}

http::Request plainRequest(const std::string &Service,
                           const std::string &Method, const std::string &Path,
                           std::vector<http::Header> Headers,
                           std::string Body) {
  Headers.push_back({"X-Service", Service});
  return http::Request{Method, Path, std::move(Headers), std::move(Body)};
}

http::Request completion(const std::string &Model, const std::string &Prompt,
                         int MaxTokens, bool Stream, int Seed) {
  json::object body{{"model", Model},
                    {"prompt", Prompt},
                    {"max_tokens", MaxTokens},
                    {"seed", Seed},
                    {"stream", Stream}};
  return http::Request{"POST",
                       "/v1/completions",
                       {{"Content-Type", "application/json"}},
                       json::serialize(body)};
}

std::string streamedText(const std::string &Events) {
  std::string text;
  std::size_t begin = 0;
  const std::string prefix = "data: {";
  while ((begin = Events.find(prefix, begin)) != std::string::npos) {
    begin += prefix.size() - 1;
    std::size_t end = Events.find('\n', begin);
    json::value event = json::parse(Events.substr(begin, end - begin));
    if (const json::value *part = event.as_object().if_contains("text"))
      text += std::string_view(part->as_string());
    begin = end;
  }
  return text;
}

} // namespace wasabi::test
