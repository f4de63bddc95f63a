/// \file
/// The faults that a role has been told to show.
#ifndef WASABI_STANDINS_FAULTS_H
#define WASABI_STANDINS_FAULTS_H

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::standins {

/// Named switches, numbers and counts. Not thread-safe.
class Faults {
public:
  /// \param Defaults every fault that the role knows, with its resting value.
  explicit Faults(boost::json::object Defaults) : Values(std::move(Defaults)) {}

  /// Sets the members given, and leaves the others. Throws `InvalidBody`, with
  /// nothing set, when one is unknown or of another kind.
  void merge(const boost::json::object &Changes);

  /// Whether the role knows a fault of this name.
  bool knows(std::string_view Name) const;
  /// Whether a switch is on.
  bool isOn(std::string_view Name) const;
  /// A text.
  std::string text(std::string_view Name) const;
  /// A whole number.
  std::uint64_t number(std::string_view Name) const;
  /// A number.
  double real(std::string_view Name) const;
  /// A number of milliseconds.
  std::chrono::milliseconds millis(std::string_view Name) const;
  /// Whether a count is above 0; it then goes down by one.
  bool takeOne(std::string_view Name);
  /// Turns a switch off.
  void turnOff(std::string_view Name);

  const boost::json::object &values() const { return Values; }

private:
  boost::json::object Values;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_FAULTS_H
