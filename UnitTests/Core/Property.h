/// \file
/// Runs RapidCheck properties in Catch2 tests.
#ifndef WASABI_UNITTESTS_CORE_PROPERTY_H
#define WASABI_UNITTESTS_CORE_PROPERTY_H

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <sstream>

namespace wasabi::test {

inline constexpr std::uint64_t PropertySeed = 20261202;
inline constexpr int PropertyRuns = 200;

/// Checks a property with a fixed seed, so that failures are reproducible.
template <typename Property> void holds(const Property &Check) {
  rc::detail::TestParams params;
  params.seed = PropertySeed;
  params.maxSuccess = PropertyRuns;
  rc::detail::TestResult result =
      rc::detail::checkTestable(Check, rc::detail::TestMetadata(), params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  INFO(text.str());
  CHECK(result.template is<rc::detail::SuccessResult>());
}

} // namespace wasabi::test

#endif // WASABI_UNITTESTS_CORE_PROPERTY_H
