/// \file
/// Starts all children from one thread. The kernel sends the parent-death
/// signal when the *thread* that forked exits, so that thread must live as long
/// as the harness.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_PROCESSSPAWNER_H
#define WASABI_INTEGRATIONTESTS_HARNESS_PROCESSSPAWNER_H

#include <string>
#include <vector>

#include <sys/types.h>

namespace wasabi::harness {

/// Parameters of a child process. An immutable value.
struct SpawnRequest {
  /// Path of the program.
  std::string Path;
  /// Arguments, starting with the program's name.
  std::vector<std::string> Arguments;
  /// The complete environment, as `NAME=value`.
  std::vector<std::string> Environment;
  /// Open descriptors that become stdout and stderr of the child.
  int Output = -1;
  int Errors = -1;
  /// Maximum number of open descriptors of the child; 0 to inherit it.
  std::size_t MaxDescriptors = 0;
};

/// Starts a child that is killed when the harness dies. Returns its id, or -1
/// if memory is exhausted. A child whose program cannot be executed exits with
/// code 127. Thread-safe.
pid_t spawn(const SpawnRequest &Request);

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_PROCESSSPAWNER_H
