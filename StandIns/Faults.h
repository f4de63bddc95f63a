/// \file
/// The faults that a role injects.
#ifndef WASABI_STANDINS_FAULTS_H
#define WASABI_STANDINS_FAULTS_H

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace wasabi::standins {

/// Named switches, numbers, texts and counts. Not thread-safe.
class Faults {
public:
  /// \param Defaults every fault of the role with its default value.
  explicit Faults(boost::json::object Defaults) : Values(std::move(Defaults)) {}

  /// Sets the given members and leaves the others unchanged. Throws
  /// `InvalidBody` without changes if a member is unknown or has the wrong
  /// kind.
  void merge(const boost::json::object &Changes);

  /// Returns true if the role has a fault of this name.
  bool knows(std::string_view Name) const;
  /// Returns the value of a switch.
  bool isOn(std::string_view Name) const;
  /// Returns the value of a text.
  std::string text(std::string_view Name) const;
  /// Returns the value of an integer.
  std::uint64_t number(std::string_view Name) const;
  /// Returns the value of a number.
  double real(std::string_view Name) const;
  /// Returns the value of a duration in milliseconds.
  std::chrono::milliseconds millis(std::string_view Name) const;
  /// Decrements a count and returns true if it is above 0.
  bool consumeOne(std::string_view Name);
  /// Turns a switch off.
  void turnOff(std::string_view Name);

  const boost::json::object &values() const { return Values; }

private:
  boost::json::object Values;
};

} // namespace wasabi::standins

#endif // WASABI_STANDINS_FAULTS_H
