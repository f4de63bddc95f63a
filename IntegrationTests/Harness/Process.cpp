#include "IntegrationTests/Harness/Process.h"

#include "IntegrationTests/Harness/ProcessSpawner.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <array>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wasabi::harness {

namespace {

constexpr int SignalBase = 128;
/// Maximum length of a failed process' stderr in an error message.
constexpr std::size_t MaxErrorText = 2000;

std::vector<std::string>
makeEnvironment(const std::vector<EnvironmentVariable> &Added) {
  std::vector<std::string> all;
  for (char **it = environ; it != nullptr && *it != nullptr; ++it) {
    if (!std::string_view(*it).starts_with("WASABI_"))
      all.emplace_back(*it);
  }
  for (const EnvironmentVariable &it : Added)
    all.push_back(it.Name + "=" + it.Value);
  return all;
}

boost::leaf::error_id unavailable(const std::string &Place,
                                  std::string Reason) {
  return boost::leaf::new_error(Failure{
      Verdict::NotRun, FailureCode::Unavailable, Place, std::move(Reason), {}});
}

std::optional<std::string> findValue(const std::string &Text,
                                     std::string_view Key) {
  std::istringstream lines(Text);
  std::string line;
  // Use complete lines only: the last one may still be arriving.
  while (std::getline(lines, line) && !lines.eof()) {
    if (line.size() > Key.size() && line.starts_with(Key) &&
        line[Key.size()] == ' ')
      return line.substr(Key.size() + 1);
  }
  return std::nullopt;
}

} // namespace

Result<std::unique_ptr<Process>> Process::start(Settings Setup) {
  std::string path = std::string(WASABI_BINARY_DIR) + "/" + Setup.Program;
  if (access(path.c_str(), X_OK) != 0)
    return unavailable(path, std::strerror(errno));

  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0)
    return unavailable(path, std::strerror(errno));
  std::string errors = Setup.ErrorFile.empty() ? "/dev/null" : Setup.ErrorFile;
  int file = open(errors.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                  S_IRUSR | S_IWUSR);

  SpawnRequest request;
  request.Path = path;
  request.Arguments.push_back(Setup.Program);
  request.Arguments.insert(request.Arguments.end(), Setup.Arguments.begin(),
                           Setup.Arguments.end());
  request.Environment = makeEnvironment(Setup.Environment);
  request.Output = ends[1];
  request.Errors = file;
  request.MaxDescriptors = Setup.MaxDescriptors;
  pid_t child = spawn(request);
  close(ends[1]);
  close(file);
  if (child < 0) {
    close(ends[0]);
    return unavailable(path, "it could not be forked");
  }
  return std::unique_ptr<Process>(
      new Process(std::move(Setup), child, ends[0]));
}

Process::Process(Settings Setup, pid_t Pid, int Descriptor)
    : Setup(std::move(Setup)), Pid(Pid),
      Reader([this, Descriptor] { readOutput(Descriptor); }) {}

Process::~Process() {
  signal(SIGKILL);
  // A killed child exits promptly in any state.
  while (!wait(ProcessStartTimeout)) {
  }
  Reader.join();
}

void Process::readOutput(int Descriptor) {
  std::array<char, 4096> buf{};
  while (true) {
    ssize_t n = read(Descriptor, buf.data(), buf.size());
    if (n < 0 && errno == EINTR)
      continue;
    std::lock_guard<std::mutex> lock(Guard);
    if (n <= 0) {
      OutputClosed = true;
      Changed.notify_all();
      break;
    }
    OutputText.append(buf.data(), static_cast<std::size_t>(n));
    Changed.notify_all();
  }
  close(Descriptor);
}

Result<Address> Process::waitForAddress(std::string_view Key, Millis Timeout) {
  std::optional<std::string> found;
  {
    std::unique_lock<std::mutex> lock(Guard);
    Changed.wait_for(lock, Timeout, [&] {
      found = findValue(OutputText, Key);
      return found.has_value() || OutputClosed;
    });
  }
  std::string place = Setup.Program + " (" + std::string(Key) + ")";
  if (!found)
    return unavailable(place, "it did not announce it: " + lastErrors());
  return parseAddress(*found, place);
}

std::string Process::output() const {
  std::lock_guard<std::mutex> lock(Guard);
  return OutputText;
}

std::string Process::lastErrors() const {
  std::ifstream file(Setup.ErrorFile);
  std::ostringstream text;
  text << file.rdbuf();
  std::string all = text.str();
  return all.size() > MaxErrorText ? all.substr(all.size() - MaxErrorText)
                                   : all;
}

void Process::signal(int Number) {
  std::lock_guard<std::mutex> lock(Guard);
  // After the wait, the id may belong to another process.
  if (!Exit)
    kill(Pid, Number);
}

std::size_t Process::readStatusKib(std::string_view Field) const {
  std::ifstream status("/proc/" + std::to_string(Pid) + "/status");
  std::string name;
  std::size_t value = 0;
  while (status >> name) {
    if (name == Field && status >> value)
      return value;
  }
  return 0;
}

std::size_t Process::peakMemoryKib() const { return readStatusKib("VmHWM:"); }

std::size_t Process::memoryKib() const { return readStatusKib("VmRSS:"); }

std::size_t Process::openDescriptors() const {
  std::error_code ec;
  std::filesystem::directory_iterator it("/proc/" + std::to_string(Pid) + "/fd",
                                         ec);
  return ec ? 0 : std::distance(begin(it), end(it));
}

bool Process::running() {
  std::lock_guard<std::mutex> lock(Guard);
  if (Exit)
    return false;
  int status = 0;
  if (waitpid(Pid, &status, WNOHANG) != Pid)
    return true;
  Exit = ProcessExit{WIFSIGNALED(status) ? SignalBase + WTERMSIG(status)
                                         : WEXITSTATUS(status)};
  return false;
}

std::optional<ProcessExit> Process::wait(Millis Timeout) {
  waitUntil([this] { return !running(); }, Timeout);
  std::lock_guard<std::mutex> lock(Guard);
  return Exit;
}

std::optional<ProcessExit> Process::waitAndRead(Millis Timeout) {
  std::optional<ProcessExit> end = wait(Timeout);
  if (!end)
    return end;
  std::unique_lock<std::mutex> lock(Guard);
  Changed.wait_for(lock, Timeout, [this] { return OutputClosed; });
  return end;
}

} // namespace wasabi::harness
