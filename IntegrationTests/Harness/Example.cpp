#include "IntegrationTests/Harness/Example.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace wasabi::harness {

namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

std::string readFile(const fs::path &Path) {
  std::ifstream file(Path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Returns an object's text with the endpoint of the declared trainer replaced.
std::string replaceEndpoint(const std::string &Text,
                            const std::map<TrainerName, Address> &Trainers) {
  json::object object = json::parse(Text).as_object();
  if (object["kind"] != "trainer")
    return Text;
  TrainerName name(json::value_to<std::string>(object["name"]));
  auto it = Trainers.find(name);
  if (it != Trainers.end())
    object["endpoint"] = toText(it->second);
  return json::serialize(object);
}

Result<Done> writeFile(const fs::path &Path, const std::string &Text) {
  std::ofstream file(Path);
  file << Text << "\n";
  file.close();
  if (!file)
    return boost::leaf::new_error(Failure{Verdict::NotRun,
                                          FailureCode::Unavailable,
                                          Path.string(),
                                          "it could not be written",
                                          {}});
  return Done{};
}

} // namespace

Result<Example> readExample(const std::string &Name) {
  fs::path folder = fs::path(WASABI_SOURCE_DIR) / "examples" / Name;
  if (!fs::is_directory(folder))
    return badInput(folder.string(), "there is no such example");
  Example example;
  for (const fs::directory_entry &it : fs::directory_iterator(folder)) {
    if (it.path().extension() != ".json")
      continue;
    BOOST_LEAF_AUTO(objects,
                    parseDeclarations(it.path().string(), readFile(it.path())));
    example.Objects.merge(objects);
  }
  BOOST_LEAF_ASSIGN(example.Declared, buildConfiguration(example.Objects));
  return example;
}

Result<Done> writeDeclarations(const Example &Source,
                               const std::map<TrainerName, Address> &Trainers,
                               const std::string &Folder) {
  std::error_code ec;
  fs::create_directories(Folder, ec);
  for (const std::pair<const std::string, std::string> &it : Source.Objects) {
    std::string file = it.first + ".json";
    std::replace(file.begin(), file.end(), '/', '-');
    // A limit may be named "*".
    std::replace(file.begin(), file.end(), '*', '_');
    BOOST_LEAF_CHECK(writeFile(fs::path(Folder) / file,
                               replaceEndpoint(it.second, Trainers)));
  }
  return Done{};
}

} // namespace wasabi::harness
