/// \file
/// An example of the repository: its declarations, and the same declarations
/// with the addresses that a test's trainers really have.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_EXAMPLE_H
#define WASABI_INTEGRATIONTESTS_HARNESS_EXAMPLE_H

#include "Wasabi/Config/Configuration.h"

#include <map>
#include <string>

namespace wasabi::harness {

/// The declarations of a folder. An immutable value.
struct Example {
  ObjectTexts Objects;
  Configuration Declared;
  bool operator==(const Example &) const = default;
};

/// Reads `examples/NAME`. Errors: `BadInput` naming file and place.
Result<Example> readExample(const std::string &Name);

/// Writes the declarations, a file an object, with the trainers' endpoints
/// replaced. Errors: `Unavailable` when a file cannot be written.
Result<Done> writeDeclarations(const Example &From,
                               const std::map<TrainerName, Address> &Trainers,
                               const std::string &Folder);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_EXAMPLE_H
