/// \file
/// Reads the declarations of an example of the repository and writes them with
/// the real addresses of a test's trainers.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_EXAMPLE_H
#define WASABI_INTEGRATIONTESTS_HARNESS_EXAMPLE_H

#include "Wasabi/Config/Configuration.h"

#include <map>
#include <string>

namespace wasabi::harness {

/// The declarations in a folder. An immutable value.
struct Example {
  ObjectTexts Objects;
  Configuration Declared;
  bool operator==(const Example &) const = default;
};

/// Reads `examples/NAME`. Errors: `BadInput` naming the file and the position.
Result<Example> readExample(const std::string &Name);

/// Writes the declarations, one file for each object, with the endpoints of the
/// trainers replaced. Errors: `Unavailable` if a file cannot be written.
Result<Done> writeDeclarations(const Example &Source,
                               const std::map<TrainerName, Address> &Trainers,
                               const std::string &Folder);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_EXAMPLE_H
