/// \file
/// The one thread that starts children. The kernel's parent-death signal is
/// sent when the *thread* that forked ends, so that thread must live as long as
/// the harness.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_PROCESSSPAWNER_H
#define WASABI_INTEGRATIONTESTS_HARNESS_PROCESSSPAWNER_H

#include <string>
#include <vector>

#include <sys/types.h>

namespace wasabi::harness {

/// What a child is made of. An immutable value.
struct SpawnRequest {
  /// Path of the program.
  std::string Path;
  /// With the program's name first.
  std::vector<std::string> Arguments;
  /// `NAME=value` each; all that the child sees.
  std::vector<std::string> Environment;
  /// Open descriptors that become its stdout and stderr.
  int Output = -1;
  int Errors = -1;
};

/// Starts a child that dies with the harness; its id, or -1 when there is no
/// memory for it. A program that cannot be run ends with code 127. Thread-safe.
pid_t spawn(const SpawnRequest &Request);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_PROCESSSPAWNER_H
