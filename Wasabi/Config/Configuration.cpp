#include "Wasabi/Config/Configuration.h"

#include "Wasabi/Config/DuplicateKeys.h"
#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

#include <algorithm>
#include <set>

namespace wasabi {

namespace {

/// Maximum length of an object's name in bytes.
constexpr std::size_t MaxObjectNameLength = 128;
/// Largest values that a declaration accepts.
constexpr std::int64_t MaxServers = 10000;
constexpr std::int64_t MaxDeadlineMs = 24LL * 3600 * 1000;
constexpr std::int64_t MaxStaleness = 1000;
constexpr std::int64_t MaxShare = 1000000;
constexpr std::int64_t MaxPriority = 1000;
constexpr std::int64_t MaxRate = 1000000;

/// Name of the only switch.
constexpr char PresetSwitch[] = "preset";

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
         (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
}

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxObjectNameLength &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

/// Reads a required name.
std::string readName(JsonReader &Reader, std::string_view Key) {
  std::string name = Reader.text(Key);
  if (!isName(name))
    Reader.fail(Key, "must be 1 to 128 of A-Z a-z 0-9 . _ -");
  return name;
}

std::vector<Placement> readPlacements(JsonReader &Reader) {
  std::vector<Placement> out;
  std::set<DomainName> seen;
  for (JsonReader &part : Reader.objects("placements", false)) {
    Placement placement;
    placement.Domain = DomainName(readName(part, "domain"));
    placement.Servers =
        static_cast<std::uint32_t>(part.number("servers", 1, MaxServers));
    if (!seen.insert(placement.Domain).second)
      part.fail("domain", "is placed twice");
    Reader.mergeError(part);
    out.push_back(std::move(placement));
  }
  return out;
}

std::vector<RouteRule> readRoutes(JsonReader &Reader) {
  std::vector<RouteRule> out;
  for (JsonReader &part : Reader.objects("routes", false)) {
    RouteRule rule;
    rule.Method = part.text("method", "*");
    rule.PathPrefix = part.text("path_prefix", "/");
    rule.Idempotent = part.boolean("idempotent", false);
    if (!part.has("idempotent"))
      part.fail("idempotent", "is missing");
    if (!rule.PathPrefix.starts_with('/'))
      part.fail("path_prefix", "must begin with /");
    if (rule.Method.empty())
      part.fail("method", "must be a method or *");
    Reader.mergeError(part);
    out.push_back(std::move(rule));
  }
  return out;
}

ServiceDeclaration readService(JsonReader &Reader, const std::string &Name) {
  ServiceDeclaration out;
  out.Name = ServiceName(Name);
  out.Kind = Reader.enumIndex("type", {"engines", "plain"}, true) == 0
                 ? ServiceKind::Engines
                 : ServiceKind::Plain;
  if (out.Kind == ServiceKind::Engines)
    out.Model = ModelName(readName(Reader, "model"));
  else if (Reader.has("model"))
    Reader.fail("model", "belongs to services of type engines only");
  out.Placements = readPlacements(Reader);
  out.Routes = readRoutes(Reader);
  out.ChecksFences = Reader.boolean("checks_fences", out.ChecksFences);
  out.DefaultDeadline = Millis(Reader.integer(
      "default_deadline_ms", 1, MaxDeadlineMs, out.DefaultDeadline.count()));
  return out;
}

TrainerDeclaration readTrainer(JsonReader &Reader, const std::string &Name) {
  TrainerDeclaration out;
  out.Name = TrainerName(Name);
  out.Model = ModelName(readName(Reader, "model"));
  Outcome<Address> endpoint = toOutcome<Address>(
      [&] { return parseAddress(Reader.text("endpoint"), "endpoint"); });
  if (endpoint)
    out.Endpoint = *endpoint;
  else
    Reader.fail("endpoint", endpoint.failure().Reason);
  out.StalenessBound = static_cast<std::uint32_t>(
      Reader.integer("staleness_bound", 0, MaxStaleness, out.StalenessBound));
  out.ChecksFences = Reader.boolean("checks_fences", out.ChecksFences);
  return out;
}

Attachment readAttachment(JsonReader &Reader, const std::string &Name) {
  Attachment out;
  out.Name = Name;
  out.Trainer = TrainerName(readName(Reader, "trainer"));
  out.Service = ServiceName(readName(Reader, "service"));
  out.Share = static_cast<std::uint32_t>(
      Reader.integer("share", 1, MaxShare, out.Share));
  return out;
}

VersionChange readVersionChange(JsonReader &Reader) {
  switch (Reader.enumIndex("on_version_change", {"resume", "finish", "restart"},
                           false)) {
  case 1:
    return VersionChange::Finish;
  case 2:
    return VersionChange::Restart;
  default:
    return VersionChange::Resume;
  }
}

PresetDeclaration readPreset(JsonReader &Reader, const std::string &Name) {
  PresetDeclaration out;
  out.Name = PresetName(Name);
  out.AdmitCallers = Reader.boolean("admit_callers", out.AdmitCallers);
  out.AdmitRollouts = Reader.boolean("admit_rollouts", out.AdmitRollouts);
  out.CallerPriority = static_cast<std::int32_t>(Reader.integer(
      "caller_priority", -MaxPriority, MaxPriority, out.CallerPriority));
  out.RolloutPriority = static_cast<std::int32_t>(Reader.integer(
      "rollout_priority", -MaxPriority, MaxPriority, out.RolloutPriority));
  out.RolloutPercent = static_cast<std::uint32_t>(
      Reader.integer("rollout_percent", 0, 100, out.RolloutPercent));
  out.OnVersionChange = readVersionChange(Reader);
  out.HedgeTail = Reader.boolean("hedge_tail", out.HedgeTail);
  out.SwapPercent = static_cast<std::uint32_t>(
      Reader.integer("swap_percent", 1, 100, out.SwapPercent));
  return out;
}

CallerLimit readLimit(JsonReader &Reader, const std::string &Name) {
  CallerLimit out;
  out.Name = Name;
  out.RequestsPerSecond = static_cast<std::uint32_t>(
      Reader.integer("requests_per_second", 1, MaxRate, out.RequestsPerSecond));
  out.Burst = static_cast<std::uint32_t>(
      Reader.integer("burst", 1, MaxRate, out.Burst));
  return out;
}

/// Kinds of declarations, in the order of `KindNames`.
enum class ObjectKind : std::uint8_t {
  Service,
  Trainer,
  Attachment,
  Preset,
  Limit,
  Switch,
};

constexpr std::string_view KindNames[] = {"service", "trainer", "attachment",
                                          "preset",  "limit",   "switch"};

ObjectKind readKind(JsonReader &Reader) {
  return static_cast<ObjectKind>(
      Reader.enumIndex("kind",
                       {KindNames[0], KindNames[1], KindNames[2], KindNames[3],
                        KindNames[4], KindNames[5]},
                       true));
}

/// Reads an object's name. A limit may be named "*"; the switch has a fixed
/// name.
std::string readObjectName(JsonReader &Reader, ObjectKind Kind) {
  std::string name = Reader.text("name");
  if (Kind == ObjectKind::Limit && name == "*")
    return name;
  if (!isName(name))
    Reader.fail("name", "must be 1 to 128 of A-Z a-z 0-9 . _ -");
  if (Kind == ObjectKind::Switch && name != PresetSwitch)
    Reader.fail("name", "must be 'preset', the only switch");
  return name;
}

/// Reads one object into `Config`, replacing an object with the same name, and
/// returns its key. Errors: `BadInput`, place `Place: Path/...`; `Config` is
/// then unchanged.
Result<std::string> readInto(Configuration &Config,
                             const boost::json::value &Value,
                             const std::string &Place,
                             const std::string &Path = "") {
  JsonReader reader(Value, Place, Path);
  ObjectKind kind = readKind(reader);
  std::string name = readObjectName(reader, kind);
  std::string key = std::string(KindNames[static_cast<int>(kind)]) + "/" + name;
  switch (kind) {
  case ObjectKind::Service: {
    ServiceDeclaration read = readService(reader, name);
    BOOST_LEAF_CHECK(reader.finish());
    Config.Services.insert_or_assign(read.Name, std::move(read));
    break;
  }
  case ObjectKind::Trainer: {
    TrainerDeclaration read = readTrainer(reader, name);
    BOOST_LEAF_CHECK(reader.finish());
    Config.Trainers.insert_or_assign(read.Name, std::move(read));
    break;
  }
  case ObjectKind::Attachment: {
    Attachment read = readAttachment(reader, name);
    BOOST_LEAF_CHECK(reader.finish());
    Config.Attachments.insert_or_assign(read.Name, std::move(read));
    break;
  }
  case ObjectKind::Preset: {
    PresetDeclaration read = readPreset(reader, name);
    BOOST_LEAF_CHECK(reader.finish());
    Config.Presets.insert_or_assign(read.Name, std::move(read));
    break;
  }
  case ObjectKind::Limit: {
    CallerLimit read = readLimit(reader, name);
    BOOST_LEAF_CHECK(reader.finish());
    Config.Limits.insert_or_assign(read.Name, std::move(read));
    break;
  }
  case ObjectKind::Switch: {
    PresetName read(readName(reader, "preset"));
    BOOST_LEAF_CHECK(reader.finish());
    Config.ActivePreset = std::move(read);
    break;
  }
  }
  return key;
}

/// Removes the object with the given key.
void removeFrom(Configuration &Config, std::string_view Key) {
  std::size_t slash = Key.find('/');
  if (slash == std::string_view::npos)
    return;
  std::string_view kind = Key.substr(0, slash);
  std::string name(Key.substr(slash + 1));
  if (kind == "service")
    Config.Services.erase(ServiceName(name));
  else if (kind == "trainer")
    Config.Trainers.erase(TrainerName(name));
  else if (kind == "attachment")
    Config.Attachments.erase(name);
  else if (kind == "preset")
    Config.Presets.erase(PresetName(name));
  else if (kind == "limit")
    Config.Limits.erase(name);
  else if (Key == "switch/preset")
    Config.ActivePreset = PresetName();
}

Result<void> checkAttachment(const Configuration &Config,
                             const Attachment &Link) {
  std::string place = "attachment/" + Link.Name + ": ";
  auto trainer = Config.Trainers.find(Link.Trainer);
  if (trainer == Config.Trainers.end())
    return badInput(place + "/trainer",
                    "there is no trainer/" + Link.Trainer.Text);
  auto service = Config.Services.find(Link.Service);
  if (service == Config.Services.end())
    return badInput(place + "/service",
                    "there is no service/" + Link.Service.Text);
  if (service->second.Kind != ServiceKind::Engines)
    return badInput(place + "/service",
                    "service/" + Link.Service.Text + " has no engines");
  if (service->second.Model != trainer->second.Model)
    return badInput(place + "/service",
                    "service/" + Link.Service.Text + " holds model " +
                        service->second.Model.Text + ", but trainer/" +
                        Link.Trainer.Text + " trains " +
                        trainer->second.Model.Text);
  return {};
}

/// Checks the references between objects.
Result<void> checkReferences(const Configuration &Config) {
  std::map<std::pair<TrainerName, ServiceName>, std::string> pairs;
  for (const auto &[name, link] : Config.Attachments) {
    BOOST_LEAF_CHECK(checkAttachment(Config, link));
    auto [it, inserted] = pairs.try_emplace({link.Trainer, link.Service}, name);
    if (!inserted)
      return badInput("attachment/" + name + ": /",
                      "attachment/" + it->second +
                          " already joins this trainer and service");
  }
  if (!Config.ActivePreset.empty() &&
      !Config.Presets.contains(Config.ActivePreset))
    return badInput("switch/preset: /preset",
                    "there is no preset/" + Config.ActivePreset.Text);
  return {};
}

/// Reads one object of a file and adds its canonical text to `Out`.
Result<void> addDeclaration(ObjectTexts &Out, const boost::json::value &Value,
                            const std::string &File, const std::string &Path) {
  Configuration scratch;
  BOOST_LEAF_AUTO(key, readInto(scratch, Value, File, Path));
  BOOST_LEAF_AUTO(text, canonicalText(Value, File, Path));
  if (!Out.emplace(key, std::move(text)).second)
    return badInput(File + ": " + Path + "/name", key + " is declared twice");
  return {};
}

} // namespace

const PresetDeclaration &Configuration::preset() const {
  static const PresetDeclaration Defaults;
  auto it = Presets.find(ActivePreset);
  return it == Presets.end() ? Defaults : it->second;
}

Result<Configuration> buildConfiguration(const ObjectTexts &Objects) {
  return changeConfiguration(Configuration(), Objects, {});
}

Result<Configuration>
changeConfiguration(const Configuration &Base, const ObjectTexts &Written,
                    const std::vector<std::string> &Removed) {
  Configuration config = Base;
  for (const std::string &key : Removed)
    removeFrom(config, key);
  for (const auto &[key, text] : Written) {
    BOOST_LEAF_AUTO(value, parseJson(text, key));
    BOOST_LEAF_AUTO(found, readInto(config, value, key));
    if (found != key)
      return badInput(key + ": /name", "the object is " + found);
  }
  BOOST_LEAF_CHECK(checkReferences(config));
  return config;
}

Result<ObjectTexts> parseDeclarations(std::string_view File,
                                      std::string_view Text) {
  std::string file(File);
  ObjectTexts out;
  BOOST_LEAF_CHECK(checkDuplicateKeys(Text, file));
  BOOST_LEAF_AUTO(value, parseJson(Text, file));
  const boost::json::array *items = value.if_array();
  if (!items) {
    BOOST_LEAF_CHECK(addDeclaration(out, value, file, ""));
    return out;
  }
  for (std::size_t i = 0; i < items->size(); ++i)
    BOOST_LEAF_CHECK(
        addDeclaration(out, (*items)[i], file, "/" + std::to_string(i)));
  return out;
}

bool isIdempotent(const ServiceDeclaration &Service, std::string_view Method,
                  std::string_view Path) {
  for (const RouteRule &rule : Service.Routes)
    if ((rule.Method == "*" || rule.Method == Method) &&
        Path.starts_with(rule.PathPrefix))
      return rule.Idempotent;
  return Method == "GET" || Method == "HEAD" || Method == "PUT" ||
         Method == "DELETE" || Method == "OPTIONS";
}

} // namespace wasabi
