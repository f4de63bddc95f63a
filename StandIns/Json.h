/// \file
/// Reads members of a JSON body. Errors name the member.
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

/// An invalid body. The role's server responds with status 400 and this text.
struct InvalidBody : std::invalid_argument {
  using std::invalid_argument::invalid_argument;
};

/// Parses the body as an object. Throws `InvalidBody`. All functions here are
/// thread-safe.
boost::json::object readObject(std::string_view Body);

/// Returns an integer member. Throws `InvalidBody` if it has another type, or
/// if it is missing and there is no `Default`.
std::uint64_t readNumber(const boost::json::object &From,
                         std::string_view Name);
std::uint64_t readNumber(const boost::json::object &From, std::string_view Name,
                         std::uint64_t Default);

/// Returns a string member. Errors: as above.
std::string readText(const boost::json::object &From, std::string_view Name);
std::string readText(const boost::json::object &From, std::string_view Name,
                     std::string_view Default);

/// Returns a boolean member. Errors: as above.
bool readBool(const boost::json::object &From, std::string_view Name,
              bool Default);

/// Parses a number of a query. Returns `Default` for an empty text. Throws
/// `InvalidBody`.
std::uint64_t readQuery(const std::string &Text, std::string_view Name,
                        std::uint64_t Default);

} // namespace wasabi::standins

#endif // WASABI_STANDINS_JSON_H
