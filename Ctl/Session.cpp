#include "Ctl/Session.h"

#include "Wasabi/Adapters/PlatformLog/HttpLog.h"
#include "platform/StoreClient.h"

#include <algorithm>

namespace wasabi::ctl {

namespace {

namespace asio = boost::asio;

/// Maximum number of concurrent calls.
constexpr std::size_t MaxParallel = 64;

/// Runs `Body` for the next index until none is left.
asio::awaitable<void>
workerLoop(std::size_t &Next, std::size_t Count,
           const std::function<asio::awaitable<void>(std::size_t)> &Body) {
  while (Next < Count) {
    std::size_t index = Next++;
    co_await Body(index);
  }
}

} // namespace

Session::Session(Settings Flags)
    : Flags(std::move(Flags)),
      Client(http::Client::create(Context.get_executor(), {})) {}

Result<LogPort> Session::log() {
  if (Flags.Log.empty())
    return badInput("--log", "is required: IP:PORT of the platform's log");
  return makeHttpLog(Client, Flags.Log);
}

Result<RecordStore> Session::store() {
  if (Flags.Store.empty())
    return badInput("--store", "is required: IP:PORT of the platform's store");
  return platform::makeRecordStore(Context.get_executor(), Flags.Store);
}

void Session::runConcurrently(
    std::size_t Count,
    const std::function<asio::awaitable<void>(std::size_t)> &Body) {
  std::size_t next = 0;
  std::size_t running = std::min(Count, MaxParallel);
  if (running == 0)
    return;
  Context.restart();
  for (std::size_t i = running; i > 0; --i)
    asio::co_spawn(Context, workerLoop(next, Count, Body),
                   [&](const std::exception_ptr &Problem) {
                     if (--running == 0)
                       Context.stop();
                     if (Problem)
                       std::rethrow_exception(Problem);
                   });
  Context.run();
}

} // namespace wasabi::ctl
