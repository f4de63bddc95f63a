#include "Wasabi/State/ChangePlan.h"

#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

namespace wasabi {

namespace {

constexpr char SwitchKey[] = "switch/preset";

std::optional<std::string> findText(const FoldState &State,
                                    const std::string &Key) {
  auto it = State.Objects.find(Key);
  if (it == State.Objects.end())
    return std::nullopt;
  return it->second.Text;
}

/// Adds a write unless the object already has the wanted text.
void addWrite(ChangePlan &Plan, const FoldState &State, const std::string &Key,
              std::optional<std::string> After) {
  std::optional<std::string> before = findText(State, Key);
  if (before != After)
    Plan.Writes.push_back({Key, std::move(before), std::move(After)});
}

std::string memberText(const boost::json::object &Object,
                       boost::json::string_view Key) {
  const boost::json::value *found = Object.if_contains(Key);
  return found ? std::string(boost::json::serialize(*found)) : "(default)";
}

/// Describes the members that differ between two objects, one per line.
std::string describeMembers(const std::string &Before,
                            const std::string &After) {
  boost::json::value before = boost::json::parse(Before);
  boost::json::value after = boost::json::parse(After);
  std::map<std::string, bool> keys;
  for (const boost::json::key_value_pair &it : before.as_object())
    keys.emplace(std::string(it.key()), true);
  for (const boost::json::key_value_pair &it : after.as_object())
    keys.emplace(std::string(it.key()), true);
  std::string out;
  for (const auto &[key, present] : keys) {
    std::string left = memberText(before.as_object(), key);
    std::string right = memberText(after.as_object(), key);
    if (left != right)
      out.append("    /")
          .append(key)
          .append(": ")
          .append(left)
          .append(" -> ")
          .append(right)
          .append("\n");
  }
  return out;
}

} // namespace

ChangePlan planApply(const FoldState &State, const ObjectTexts &Wanted,
                     bool Prune) {
  ChangePlan out;
  out.Base = State.Next;
  for (const auto &[key, text] : Wanted)
    addWrite(out, State, key, text);
  for (const auto &[key, object] : State.Objects) {
    if (Wanted.contains(key))
      continue;
    if (Prune && key != SwitchKey)
      addWrite(out, State, key, std::nullopt);
    else
      out.UnmanagedKeys.push_back(key);
  }
  return out;
}

Result<ChangePlan> planPreset(const FoldState &State,
                              const PresetName &Preset) {
  if (!State.Config->Presets.contains(Preset)) {
    std::string known;
    for (const auto &[name, what] : State.Config->Presets)
      known += (known.empty() ? "" : ", ") + name.Text;
    return badInput("preset/" + Preset.Text,
                    "is not declared; there are: " +
                        (known.empty() ? "none" : known));
  }
  ChangePlan out;
  out.Base = State.Next;
  out.Reads = {"preset/" + Preset.Text};
  addWrite(out, State, SwitchKey,
           R"({"kind":"switch","name":"preset","preset":)" +
               quoted(Preset.Text) + "}");
  return out;
}

ChangePlan planRestore(const FoldState &Current, const FoldState &Target) {
  ChangePlan out;
  out.Base = Current.Next;
  for (const auto &[key, object] : Target.Objects)
    addWrite(out, Current, key, object.Text);
  for (const auto &[key, object] : Current.Objects)
    if (!Target.Objects.contains(key))
      addWrite(out, Current, key, std::nullopt);
  return out;
}

Result<void> checkPlan(const FoldState &State, const ChangePlan &Plan) {
  ObjectTexts written;
  std::vector<std::string> removed;
  for (const PlannedWrite &it : Plan.Writes) {
    if (it.After)
      written.emplace(it.Key, *it.After);
    else
      removed.push_back(it.Key);
  }
  BOOST_LEAF_AUTO(config, changeConfiguration(*State.Config, written, removed));
  static_cast<void>(config);
  return {};
}

ConfigChange makeChange(const ChangePlan &Plan, std::string Operator,
                        std::string Message) {
  ConfigChange out;
  out.Base = Plan.Base;
  out.Reads = Plan.Reads;
  for (const PlannedWrite &it : Plan.Writes)
    out.Writes.push_back({it.Key, it.After});
  out.Operator = std::move(Operator);
  out.Message = std::move(Message);
  return out;
}

std::string describePlan(const ChangePlan &Plan) {
  std::string out;
  for (const PlannedWrite &it : Plan.Writes) {
    if (!it.After)
      out += "- " + it.Key + "\n";
    else if (!it.Before)
      out += "+ " + it.Key + " " + *it.After + "\n";
    else
      out += "~ " + it.Key + "\n" + describeMembers(*it.Before, *it.After);
  }
  if (out.empty())
    out = "nothing to change\n";
  return out;
}

} // namespace wasabi
