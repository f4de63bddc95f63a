#include "IntegrationTests/Harness/Process.h"

#include "IntegrationTests/Harness/ProcessSpawner.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <array>
#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace wasabi::harness {

namespace {

constexpr int SignalBase = 128;
/// How much of a failed process' stderr is told.
constexpr std::size_t MaxErrorText = 2000;

std::vector<std::string>
environmentWith(const std::vector<EnvironmentVariable> &Added) {
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

std::optional<std::string> valueOfLine(const std::string &Text,
                                       std::string_view Key) {
  std::istringstream lines(Text);
  std::string line;
  // Only whole lines count: the last one may still be on its way.
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
  request.Environment = environmentWith(Setup.Environment);
  request.Output = ends[1];
  request.Errors = file;
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

Process::Process(Settings Setup, pid_t Pid, int Output)
    : Setup(std::move(Setup)), Pid(Pid),
      Reader([this, Output] { readOutput(Output); }) {}

Process::~Process() {
  signal(SIGKILL);
  // A killed child ends in a moment, whatever state it was in.
  while (!wait(ProcessStartTimeout)) {
  }
  Reader.join();
}

void Process::readOutput(int Output) {
  std::array<char, 4096> buf{};
  while (true) {
    ssize_t n = read(Output, buf.data(), buf.size());
    if (n < 0 && errno == EINTR)
      continue;
    std::lock_guard<std::mutex> lock(Guard);
    if (n <= 0) {
      Closed = true;
      Changed.notify_all();
      break;
    }
    Read.append(buf.data(), static_cast<std::size_t>(n));
    Changed.notify_all();
  }
  close(Output);
}

Result<Address> Process::waitForAddress(std::string_view Key, Millis Limit) {
  std::optional<std::string> found;
  {
    std::unique_lock<std::mutex> lock(Guard);
    Changed.wait_for(lock, Limit, [&] {
      found = valueOfLine(Read, Key);
      return found.has_value() || Closed;
    });
  }
  std::string place = Setup.Program + " (" + std::string(Key) + ")";
  if (!found)
    return unavailable(place, "it did not announce it: " + lastErrors());
  return parseAddress(*found, place);
}

std::string Process::output() const {
  std::lock_guard<std::mutex> lock(Guard);
  return Read;
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
  // Once waited for, the id may belong to another process.
  if (!End)
    kill(Pid, Number);
}

bool Process::running() {
  std::lock_guard<std::mutex> lock(Guard);
  if (End)
    return false;
  int status = 0;
  if (waitpid(Pid, &status, WNOHANG) != Pid)
    return true;
  End = ProcessExit{WIFSIGNALED(status) ? SignalBase + WTERMSIG(status)
                                        : WEXITSTATUS(status)};
  return false;
}

std::optional<ProcessExit> Process::wait(Millis Limit) {
  waitUntil([this] { return !running(); }, Limit);
  std::lock_guard<std::mutex> lock(Guard);
  return End;
}

std::optional<ProcessExit> Process::waitAndRead(Millis Limit) {
  std::optional<ProcessExit> end = wait(Limit);
  if (!end)
    return end;
  std::unique_lock<std::mutex> lock(Guard);
  Changed.wait_for(lock, Limit, [this] { return Closed; });
  return end;
}

} // namespace wasabi::harness
