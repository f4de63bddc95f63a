#include "Bench/ProcessUsage.h"

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace wasabi::bench {
namespace {

/// Zero-based indices of fields in /proc/PID/stat after the command's closing
/// bracket.
constexpr int UserTimeField = 11;
constexpr int SystemTimeField = 12;
constexpr int ResidentPagesField = 21;

} // namespace

std::optional<ProcessUsage> readProcessUsage(pid_t Pid) {
  std::ifstream file("/proc/" + std::to_string(Pid) + "/stat");
  std::string text;
  if (!std::getline(file, text))
    return std::nullopt;
  // The command may contain spaces and brackets, so fields are counted from its
  // last bracket.
  std::size_t bracket = text.rfind(')');
  if (bracket == std::string::npos)
    return std::nullopt;
  std::istringstream fields(text.substr(bracket + 2));

  ProcessUsage usage;
  double ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  double page = static_cast<double>(sysconf(_SC_PAGESIZE));
  std::string field;
  for (int n = 0; fields >> field; ++n) {
    if (n == UserTimeField || n == SystemTimeField)
      usage.CpuSeconds += std::stod(field) / ticks;
    if (n == ResidentPagesField)
      usage.ResidentMiB = std::stod(field) * page / (1024.0 * 1024.0);
  }
  return usage;
}

} // namespace wasabi::bench
