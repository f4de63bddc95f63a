#include "StandIns/Json.h"

#include <charconv>

namespace wasabi::standins {

namespace {

InvalidBody makeInvalidBody(std::string_view Name, std::string_view Problem) {
  return InvalidBody("'" + std::string(Name) + "' " + std::string(Problem));
}

const boost::json::value *find(const boost::json::object &From,
                               std::string_view Name) {
  return From.if_contains({Name.data(), Name.size()});
}

const boost::json::value &need(const boost::json::object &From,
                               std::string_view Name) {
  const boost::json::value *found = find(From, Name);
  if (found == nullptr)
    throw makeInvalidBody(Name, "is missing");
  return *found;
}

std::uint64_t toNumber(const boost::json::value &Value, std::string_view Name) {
  if (Value.is_uint64())
    return Value.get_uint64();
  if (Value.is_int64() && Value.get_int64() >= 0)
    return static_cast<std::uint64_t>(Value.get_int64());
  throw makeInvalidBody(Name, "is not a whole number from 0");
}

std::string toText(const boost::json::value &Value, std::string_view Name) {
  if (!Value.is_string())
    throw makeInvalidBody(Name, "is not a text");
  return std::string(Value.get_string());
}

} // namespace

boost::json::object readObject(std::string_view Body) {
  boost::json::error_code ec;
  boost::json::value value = boost::json::parse({Body.data(), Body.size()}, ec);
  if (ec)
    throw InvalidBody("the body is not JSON: " + ec.message());
  if (!value.is_object())
    throw InvalidBody("the body is not a JSON object");
  return std::move(value.get_object());
}

std::uint64_t readNumber(const boost::json::object &From,
                         std::string_view Name) {
  return toNumber(need(From, Name), Name);
}

std::uint64_t readNumber(const boost::json::object &From, std::string_view Name,
                         std::uint64_t Default) {
  const boost::json::value *found = find(From, Name);
  return found == nullptr ? Default : toNumber(*found, Name);
}

std::string readText(const boost::json::object &From, std::string_view Name) {
  return toText(need(From, Name), Name);
}

std::string readText(const boost::json::object &From, std::string_view Name,
                     std::string_view Default) {
  const boost::json::value *found = find(From, Name);
  return found == nullptr ? std::string(Default) : toText(*found, Name);
}

bool readBool(const boost::json::object &From, std::string_view Name,
              bool Default) {
  const boost::json::value *found = find(From, Name);
  if (found == nullptr)
    return Default;
  if (!found->is_bool())
    throw makeInvalidBody(Name, "is not true or false");
  return found->get_bool();
}

std::uint64_t readQuery(const std::string &Text, std::string_view Name,
                        std::uint64_t Default) {
  if (Text.empty())
    return Default;
  std::uint64_t number = 0;
  const char *end = Text.data() + Text.size();
  std::from_chars_result read = std::from_chars(Text.data(), end, number);
  if (read.ec != std::errc() || read.ptr != end)
    throw makeInvalidBody(Name, "is not a whole number from 0");
  return number;
}

} // namespace wasabi::standins
