#include "IntegrationTests/Harness/TestFolder.h"

#include <cstdlib>
#include <cstring>

namespace wasabi::harness {

Result<std::unique_ptr<TestFolder>> TestFolder::create() {
  std::string pattern =
      std::filesystem::temp_directory_path() / "wasabisail-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr)
    return boost::leaf::new_error(Failure{Verdict::NotRun,
                                          FailureCode::Unavailable,
                                          pattern,
                                          std::strerror(errno),
                                          {}});
  return std::unique_ptr<TestFolder>(new TestFolder(pattern));
}

TestFolder::~TestFolder() {
  std::error_code ec;
  if (!Kept)
    std::filesystem::remove_all(Path, ec);
}

} // namespace wasabi::harness
