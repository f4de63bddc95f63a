#include "Wasabi/Config/JsonReader.h"

#include <boost/json.hpp>

#include <algorithm>

namespace wasabi {

namespace json = boost::json;

namespace {

/// Read in place of a part that is missing or of the wrong type.
const json::value &emptyObject() {
  static const json::value Empty = json::object();
  return Empty;
}

/// Formats a member's name as a JSON pointer token (RFC 6901).
std::string pointerToken(std::string_view Key) {
  std::string out = "/";
  for (char c : Key) {
    if (c == '~')
      out += "~0";
    else if (c == '/')
      out += "~1";
    else
      out += c;
  }
  return out;
}

std::string errorPlace(const std::string &Place, const std::string &Path) {
  return Place + ": " + (Path.empty() ? "/" : Path);
}

std::string_view toView(const json::string &Text) {
  return {Text.data(), Text.size()};
}

/// Appends the canonical text of `Value`. Returns false with `Path` set to the
/// first number that is not an integer.
bool appendCanonical(std::string &Out, const json::value &Value,
                     std::string &Path) {
  if (const json::object *members = Value.if_object()) {
    std::vector<const json::key_value_pair *> sorted;
    for (const json::key_value_pair &member : *members)
      sorted.push_back(&member);
    std::sort(sorted.begin(), sorted.end(),
              [](const auto *Left, const auto *Right) {
                return Left->key() < Right->key();
              });
    Out += '{';
    for (const json::key_value_pair *member : sorted) {
      if (Out.back() != '{')
        Out += ',';
      std::string_view key(member->key().data(), member->key().size());
      Out += quoted(key) + ":";
      std::size_t size = Path.size();
      Path += pointerToken(key);
      if (!appendCanonical(Out, member->value(), Path))
        return false;
      Path.resize(size);
    }
    Out += '}';
    return true;
  }
  if (const json::array *items = Value.if_array()) {
    Out += '[';
    for (std::size_t i = 0; i < items->size(); ++i) {
      if (i > 0)
        Out += ',';
      std::size_t size = Path.size();
      Path += "/" + std::to_string(i);
      if (!appendCanonical(Out, (*items)[i], Path))
        return false;
      Path.resize(size);
    }
    Out += ']';
    return true;
  }
  if (Value.is_double())
    return false;
  Out += json::serialize(Value);
  return true;
}

} // namespace

JsonReader::JsonReader(const json::value &Value, std::string Place,
                       std::string Path)
    : Value(&Value), Place(std::move(Place)), Path(std::move(Path)) {
  if (!Value.is_object()) {
    this->Value = &emptyObject();
    fail("", "must be an object");
  }
}

std::string JsonReader::memberPath(std::string_view Key) const {
  return Key.empty() ? Path : Path + pointerToken(Key);
}

void JsonReader::fail(std::string_view Key, std::string Reason) {
  if (!FirstError)
    FirstError = Failure{Verdict::NotRun,
                         FailureCode::BadInput,
                         errorPlace(Place, memberPath(Key)),
                         std::move(Reason),
                         {}};
}

void JsonReader::mergeError(JsonReader &Part) {
  Part.checkUnknown();
  if (!FirstError)
    FirstError = Part.FirstError;
}

bool JsonReader::has(std::string_view Key) const {
  return Value->get_object().contains(json::string_view(Key));
}

const json::value *JsonReader::find(std::string_view Key, bool Required) {
  ReadMembers.emplace(Key);
  const json::value *found =
      Value->get_object().if_contains(json::string_view(Key));
  if (!found && Required)
    fail(Key, "is missing");
  return found;
}

const json::value *JsonReader::requiredValue(std::string_view Key) {
  return find(Key, true);
}

std::string JsonReader::text(std::string_view Key) {
  const json::value *found = find(Key, true);
  if (!found)
    return {};
  if (const json::string *text = found->if_string())
    return std::string(toView(*text));
  fail(Key, "must be a string");
  return {};
}

std::string JsonReader::text(std::string_view Key, std::string_view Default) {
  if (!find(Key, false))
    return std::string(Default);
  return text(Key);
}

std::size_t JsonReader::enumIndex(std::string_view Key,
                                  std::initializer_list<std::string_view> Words,
                                  bool Required) {
  if (!find(Key, Required))
    return 0;
  std::string given = text(Key);
  std::string known;
  std::size_t index = 0;
  for (std::string_view word : Words) {
    if (word == given)
      return index;
    known += (index++ ? ", " : "") + std::string(word);
  }
  fail(Key, "must be one of " + known);
  return 0;
}

std::uint64_t JsonReader::number(std::string_view Key, std::uint64_t Min,
                                 std::uint64_t Max) {
  const json::value *found = find(Key, true);
  if (!found)
    return Min;
  boost::system::error_code ec;
  std::uint64_t given = found->to_number<std::uint64_t>(ec);
  if (!ec && !found->is_double() && given >= Min && given <= Max)
    return given;
  fail(Key, "must be a whole number of " + std::to_string(Min) + " to " +
                std::to_string(Max));
  return Min;
}

std::int64_t JsonReader::integer(std::string_view Key, std::int64_t Min,
                                 std::int64_t Max, std::int64_t Default) {
  const json::value *found = find(Key, false);
  if (!found)
    return Default;
  boost::system::error_code ec;
  std::int64_t given = found->to_number<std::int64_t>(ec);
  if (!ec && !found->is_double() && given >= Min && given <= Max)
    return given;
  fail(Key, "must be a whole number of " + std::to_string(Min) + " to " +
                std::to_string(Max));
  return Default;
}

bool JsonReader::boolean(std::string_view Key, bool Default) {
  const json::value *found = find(Key, false);
  if (!found)
    return Default;
  if (const bool *given = found->if_bool())
    return *given;
  fail(Key, "must be true or false");
  return Default;
}

std::vector<JsonReader> JsonReader::objects(std::string_view Key,
                                            bool Required) {
  std::vector<JsonReader> out;
  const json::value *found = find(Key, Required);
  if (!found)
    return out;
  const json::array *items = found->if_array();
  if (!items) {
    fail(Key, "must be an array");
    return out;
  }
  for (std::size_t i = 0; i < items->size(); ++i) {
    out.emplace_back((*items)[i], Place,
                     memberPath(Key) + "/" + std::to_string(i));
    out.back().AllowsUnknown = AllowsUnknown;
  }
  return out;
}

std::vector<std::string> JsonReader::texts(std::string_view Key,
                                           bool Required) {
  std::vector<std::string> out;
  const json::value *found = find(Key, Required);
  if (!found)
    return out;
  const json::array *items = found->if_array();
  if (!items) {
    fail(Key, "must be an array");
    return out;
  }
  for (const json::value &item : *items) {
    const json::string *text = item.if_string();
    if (!text) {
      fail(Key, "must hold strings only");
      return out;
    }
    out.emplace_back(toView(*text));
  }
  return out;
}

JsonReader JsonReader::object(std::string_view Key) {
  const json::value *found = find(Key, true);
  JsonReader out(found ? *found : emptyObject(), Place, memberPath(Key));
  out.AllowsUnknown = AllowsUnknown;
  return out;
}

void JsonReader::checkUnknown() {
  if (AllowsUnknown)
    return;
  for (const json::key_value_pair &member : Value->get_object()) {
    std::string_view key(member.key().data(), member.key().size());
    if (!ReadMembers.contains(key))
      fail(key, "is not a known member");
  }
}

Result<void> JsonReader::finish() {
  checkUnknown();
  if (FirstError)
    return boost::leaf::new_error(*FirstError);
  return {};
}

Result<json::value> parseJson(std::string_view Text, const std::string &Place) {
  boost::system::error_code ec;
  json::value value = json::parse(json::string_view(Text), ec);
  if (ec)
    return badInput(errorPlace(Place, ""), "is not JSON: " + ec.message());
  return value;
}

Result<std::string> canonicalText(const json::value &Value,
                                  const std::string &Place,
                                  const std::string &Path) {
  std::string out;
  std::string path = Path;
  if (!appendCanonical(out, Value, path))
    return badInput(errorPlace(Place, path), "must be a whole number");
  return out;
}

std::string quoted(std::string_view Text) {
  return json::serialize(json::string_view(Text));
}

} // namespace wasabi
