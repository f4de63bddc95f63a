/// \file
/// A folder for one test under the system's temporary folder.
#ifndef WASABI_INTEGRATIONTESTS_HARNESS_TESTFOLDER_H
#define WASABI_INTEGRATIONTESTS_HARNESS_TESTFOLDER_H

#include "Wasabi/Core/Verdict.h"

#include <filesystem>
#include <memory>
#include <string>

namespace wasabi::harness {

/// Removes the folder with its contents on destruction, unless `keep` was
/// called. Not thread-safe.
class TestFolder {
public:
  /// Creates the folder. Errors: `Unavailable` if it cannot be created.
  static Result<std::unique_ptr<TestFolder>> create();
  ~TestFolder();
  TestFolder(const TestFolder &) = delete;
  TestFolder &operator=(const TestFolder &) = delete;

  const std::filesystem::path &path() const { return Path; }
  /// Returns the path of a file in the folder.
  std::string file(const std::string &Name) const { return Path / Name; }
  /// Keeps the folder on destruction, for inspection.
  void keep() { Kept = true; }

private:
  explicit TestFolder(std::filesystem::path Path) : Path(std::move(Path)) {}

  const std::filesystem::path Path;
  bool Kept = false;
};

} // namespace wasabi::harness

#endif // WASABI_INTEGRATIONTESTS_HARNESS_TESTFOLDER_H
