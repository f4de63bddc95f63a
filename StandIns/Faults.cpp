#include "StandIns/Faults.h"

#include "StandIns/Json.h"

namespace wasabi::standins {

namespace {

boost::json::string_view toBoost(std::string_view Text) {
  return {Text.data(), Text.size()};
}

/// Returns true if `Given` has the same kind as `Known`: a boolean, a string,
/// or a non-negative number that is an integer if the default is one.
bool fits(const boost::json::value &Known, const boost::json::value &Given) {
  if (Known.is_bool() || Given.is_bool())
    return Known.is_bool() && Given.is_bool();
  if (Known.is_string() || Given.is_string())
    return Known.is_string() && Given.is_string();
  if (!Given.is_number() || Given.to_number<double>() < 0)
    return false;
  return Known.is_double() || !Given.is_double();
}

} // namespace

void Faults::merge(const boost::json::object &Changes) {
  for (const boost::json::key_value_pair &it : Changes) {
    const boost::json::value *known = Values.if_contains(it.key());
    if (known == nullptr)
      throw InvalidBody("no fault '" + std::string(it.key()) + "'");
    if (!fits(*known, it.value())) {
      throw InvalidBody("the fault '" + std::string(it.key()) +
                        "' takes another kind of value");
    }
  }
  for (const boost::json::key_value_pair &it : Changes) {
    if (Values.at(it.key()).is_double())
      Values[it.key()] = it.value().to_number<double>();
    else
      Values[it.key()] = it.value();
  }
}

bool Faults::knows(std::string_view Name) const {
  return Values.contains(toBoost(Name));
}

bool Faults::isOn(std::string_view Name) const {
  return Values.at(toBoost(Name)).as_bool();
}

std::string Faults::text(std::string_view Name) const {
  return std::string(Values.at(toBoost(Name)).as_string());
}

std::uint64_t Faults::number(std::string_view Name) const {
  return Values.at(toBoost(Name)).to_number<std::uint64_t>();
}

double Faults::real(std::string_view Name) const {
  return Values.at(toBoost(Name)).to_number<double>();
}

std::chrono::milliseconds Faults::millis(std::string_view Name) const {
  return std::chrono::milliseconds(number(Name));
}

bool Faults::consumeOne(std::string_view Name) {
  std::uint64_t left = number(Name);
  if (left == 0)
    return false;
  Values[toBoost(Name)] = left - 1;
  return true;
}

void Faults::turnOff(std::string_view Name) { Values[toBoost(Name)] = false; }

} // namespace wasabi::standins
