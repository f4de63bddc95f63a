#include "Ctl/Folder.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace wasabi::ctl {

namespace {

namespace fs = std::filesystem;

Result<std::string> readFile(const fs::path &Path) {
  std::ifstream file(Path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file)
    return badInput(Path.string(), "cannot be read");
  return text.str();
}

/// Returns the JSON files, sorted so that errors are reported in a fixed order.
Result<std::vector<fs::path>> listFiles(const std::string &Folder) {
  std::error_code ec;
  std::vector<fs::path> out;
  fs::recursive_directory_iterator it(Folder, ec);
  while (!ec && it != fs::recursive_directory_iterator()) {
    if (it->path().extension() == ".json")
      out.push_back(it->path());
    it.increment(ec);
  }
  if (ec)
    return badInput(Folder, ec.message());
  if (out.empty())
    return badInput(Folder, "contains no .json file");
  std::sort(out.begin(), out.end());
  return out;
}

} // namespace

Result<ObjectTexts> readFolder(const std::string &Folder) {
  BOOST_LEAF_AUTO(files, listFiles(Folder));
  ObjectTexts out;
  std::map<std::string, std::string> declaredIn;
  for (const fs::path &file : files) {
    BOOST_LEAF_AUTO(text, readFile(file));
    BOOST_LEAF_AUTO(objects, parseDeclarations(file.string(), text));
    for (auto &[key, object] : objects) {
      auto [it, isNew] = declaredIn.try_emplace(key, file.string());
      if (!isNew)
        return badInput(file.string(),
                        key + " is already declared in " + it->second);
      out.emplace(key, std::move(object));
    }
  }
  return out;
}

} // namespace wasabi::ctl
