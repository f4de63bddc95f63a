#include "IntegrationTests/Harness/ProcessSpawner.h"

#include <csignal>
#include <deque>
#include <future>
#include <mutex>
#include <thread>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace wasabi::harness {

namespace {

constexpr int ExecFailedCode = 127;

std::vector<char *> makePointers(const std::vector<std::string> &Texts) {
  std::vector<char *> pointers;
  pointers.reserve(Texts.size() + 1);
  for (const std::string &it : Texts)
    pointers.push_back(const_cast<char *>(it.c_str()));
  pointers.push_back(nullptr);
  return pointers;
}

/// Executes the program. Runs between fork and exec in a copy of a
/// multi-threaded process, so it makes async-signal-safe calls only.
[[noreturn]] void execProgram(const SpawnRequest &Request, char **Arguments,
                              char **Environment, pid_t Harness) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The harness may have died before the call above.
  if (getppid() != Harness)
    _exit(ExecFailedCode);
  int input = open("/dev/null", O_RDONLY);
  dup2(input, STDIN_FILENO);
  dup2(Request.Output, STDOUT_FILENO);
  dup2(Request.Errors, STDERR_FILENO);
  // Close the sockets of the harness: a child that inherits one would keep its
  // port in use and its peer connected.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  if (Request.MaxDescriptors > 0) {
    rlimit limit{Request.MaxDescriptors, Request.MaxDescriptors};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  // The harness ignores SIGPIPE; restore the default for the child.
  std::signal(SIGPIPE, SIG_DFL);
  // As a supervisor does that may signal a program before its `main`.
  std::signal(SIGHUP, SIG_IGN);
  execve(Request.Path.c_str(), Arguments, Environment);
  _exit(ExecFailedCode);
}

pid_t forkChild(const SpawnRequest &Request) {
  std::vector<char *> arguments = makePointers(Request.Arguments);
  std::vector<char *> environment = makePointers(Request.Environment);
  pid_t harness = getpid();
  pid_t child = fork();
  if (child == 0)
    execProgram(Request, arguments.data(), environment.data(), harness);
  return child;
}

/// The spawner thread and its queue; never destroyed, so that it outlives all
/// children.
class Spawner {
public:
  static Spawner &instance() {
    static Spawner *spawner = new Spawner();
    return *spawner;
  }

  pid_t spawn(const SpawnRequest &Request) {
    std::packaged_task<pid_t()> task([&] { return forkChild(Request); });
    std::future<pid_t> child = task.get_future();
    {
      std::lock_guard<std::mutex> lock(Guard);
      Tasks.push_back(std::move(task));
    }
    Changed.notify_one();
    return child.get();
  }

private:
  Spawner() {
    std::thread([this] { run(); }).detach();
  }

  [[noreturn]] void run() {
    while (true) {
      std::unique_lock<std::mutex> lock(Guard);
      Changed.wait(lock, [this] { return !Tasks.empty(); });
      std::packaged_task<pid_t()> task = std::move(Tasks.front());
      Tasks.pop_front();
      lock.unlock();
      task();
    }
  }

  std::mutex Guard;
  std::condition_variable Changed;
  std::deque<std::packaged_task<pid_t()>> Tasks;
};

} // namespace

pid_t spawn(const SpawnRequest &Request) {
  return Spawner::instance().spawn(Request);
}

} // namespace wasabi::harness
