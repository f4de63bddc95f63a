#include "Wasabi/Adapters/Telemetry/DecisionLog.h"

#include "Wasabi/Adapters/Telemetry/Log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace wasabi {

DecisionLog::DecisionLog(boost::asio::io_context &Context, Settings Limits)
    : Limits(std::move(Limits)), Timer(Context), Tokens(this->Limits.Burst),
      LastRefill(monotonicNow()) {}

DecisionLog::~DecisionLog() { flush(); }

std::shared_ptr<DecisionLog>
DecisionLog::create(boost::asio::io_context &Context, Settings Limits) {
  int flags = ::fcntl(Limits.Descriptor, F_GETFL);
  // A reader that is stopped must not block the process.
  if (flags >= 0)
    ::fcntl(Limits.Descriptor, F_SETFL, flags | O_NONBLOCK);
  return std::shared_ptr<DecisionLog>(
      new DecisionLog(Context, std::move(Limits)));
}

bool DecisionLog::takeToken() {
  TimePoint now = monotonicNow();
  double elapsed = std::chrono::duration<double>(now - LastRefill).count();
  LastRefill = now;
  Tokens = std::min(Limits.Burst, Tokens + elapsed * Limits.LinesPerSecond);
  if (Tokens < 1 || Pending.size() > Limits.MaxPendingBytes)
    return false;
  Tokens -= 1;
  return true;
}

void DecisionLog::line(std::string_view Event,
                       const std::vector<EventField> &Fields) {
  if (!takeToken()) {
    ++Dropped;
    return;
  }
  if (Dropped != ReportedDrops) {
    Pending += formatLogLine(
        wallMicros(), LogLevel::Warning, Limits.Instance, "log.dropped",
        {{"lines", std::to_string(Dropped - ReportedDrops)}});
    Pending += '\n';
    ReportedDrops = Dropped;
  }
  Pending += formatLogLine(wallMicros(), LogLevel::Info, Limits.Instance, Event,
                           Fields);
  Pending += '\n';
  scheduleFlush();
}

void DecisionLog::scheduleFlush() {
  if (FlushScheduled)
    return;
  FlushScheduled = true;
  Timer.expires_after(Limits.CoalesceDelay);
  Timer.async_wait([weak = weak_from_this()](boost::system::error_code) {
    std::shared_ptr<DecisionLog> self = weak.lock();
    if (!self)
      return;
    self->FlushScheduled = false;
    self->flush();
    if (!self->Pending.empty())
      self->scheduleFlush();
  });
}

void DecisionLog::flush() {
  while (!Pending.empty()) {
    ssize_t n = ::write(Limits.Descriptor, Pending.data(), Pending.size());
    if (n <= 0)
      return;
    Pending.erase(0, static_cast<std::size_t>(n));
  }
}

} // namespace wasabi
