/// \file
/// Writes one JSON line to stdout for each decision on a request and each state
/// change of the process. Bounded in rate and memory; never blocks.
#ifndef WASABI_ADAPTERS_TELEMETRY_DECISIONLOG_H
#define WASABI_ADAPTERS_TELEMETRY_DECISIONLOG_H

#include "Wasabi/Core/BootTimer.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Timeline.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace wasabi {

/// Rate-limited log of decisions. Not thread-safe: use on the thread of the
/// context.
class DecisionLog : public std::enable_shared_from_this<DecisionLog> {
public:
  struct Settings {
    /// Name of the instance, added to each line.
    std::string Instance;
    /// File descriptor to write to.
    int Descriptor = 1;
    /// Average number of lines per second.
    double LinesPerSecond = 1000;
    /// Maximum number of lines in a burst.
    double Burst = 2000;
    /// Maximum number of bytes buffered for a slow reader; further lines are
    /// dropped.
    std::size_t MaxPendingBytes = 1u << 20;
    /// How long a line waits so that several lines share one system call.
    Millis CoalesceDelay{50};
  };

  static std::shared_ptr<DecisionLog> create(boost::asio::io_context &Context,
                                             Settings Limits);
  ~DecisionLog();

  /// Writes one line. Drops and counts it if the rate limit is exceeded or the
  /// buffer is full.
  void line(std::string_view Event, const std::vector<EventField> &Fields);

  /// Writes buffered lines as far as the descriptor accepts them.
  void flush();

  std::uint64_t dropped() const { return Dropped; }

private:
  DecisionLog(boost::asio::io_context &Context, Settings Limits);
  bool takeToken();
  void scheduleFlush();

  const Settings Limits;
  BootTimer Timer;
  std::string Pending;
  double Tokens;
  TimePoint LastRefill;
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDrops = 0;
  bool FlushScheduled = false;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_DECISIONLOG_H
