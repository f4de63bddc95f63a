/// \file
/// A folder of a test's own under the system's temporary folder.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_TESTFOLDER_H
#define WASABI_INTEGRATIONTESTS_HARNESS_TESTFOLDER_H

#include "Wasabi/Core/Verdict.h"

#include <filesystem>
#include <memory>
#include <string>

namespace wasabi::harness {

/// Removed with all it holds when destroyed, unless `keep` was called.
/// Not thread-safe.
class TestFolder {
public:
  /// Errors: `Unavailable` when it cannot be made.
  static Result<std::unique_ptr<TestFolder>> create();
  ~TestFolder();
  TestFolder(const TestFolder &) = delete;
  TestFolder &operator=(const TestFolder &) = delete;

  const std::filesystem::path &path() const { return Path; }
  /// The path of a file in it, as text.
  std::string file(const std::string &Name) const { return Path / Name; }
  /// Leaves the folder for a person to look at.
  void keep() { Kept = true; }

private:
  explicit TestFolder(std::filesystem::path Path) : Path(std::move(Path)) {}

  const std::filesystem::path Path;
  bool Kept = false;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_TESTFOLDER_H
