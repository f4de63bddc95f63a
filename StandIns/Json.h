/// \file
/// Reading members of a JSON body, with errors that name the member.
#ifndef WASABI_STANDINS_JSON_H
#define WASABI_STANDINS_JSON_H

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace wasabi::standins {

/// A body that cannot be read; the role's server answers 400 with its text.
struct InvalidBody : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

/// The body as an object. Throws `InvalidBody`. Thread-safe, as all here.
boost::json::object readObject(std::string_view Body);

/// A whole number member. Throws `InvalidBody` if it is missing and there is no
/// `Otherwise`, or is something else.
std::uint64_t readNumber(const boost::json::object &From,
                         std::string_view Name);
std::uint64_t readNumber(const boost::json::object &From, std::string_view Name,
                         std::uint64_t Otherwise);

/// A text member. As above.
std::string readText(const boost::json::object &From, std::string_view Name);
std::string readText(const boost::json::object &From, std::string_view Name,
                     std::string_view Otherwise);

/// A boolean member. As above.
bool readBool(const boost::json::object &From, std::string_view Name,
              bool Otherwise);

/// A number from a query's text; empty gives `Otherwise`. Throws `InvalidBody`.
std::uint64_t readQuery(const std::string &Text, std::string_view Name,
                        std::uint64_t Otherwise);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_JSON_H
