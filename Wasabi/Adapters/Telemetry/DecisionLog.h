/// \file
/// One line on stdout for each decision on a request and each change of what
/// the process believes. Bounded in rate and memory; never blocks.
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

/// Not thread-safe: use on the context's thread.
class DecisionLog : public std::enable_shared_from_this<DecisionLog> {
public:
  struct Settings {
    /// Named in each line.
    std::string Instance;
    /// Where lines go.
    int Descriptor = 1;
    /// Lines a second on average. A busy dispatcher writes about three lines
    /// an item and 40 items a second; ten times that is still 1% of a core.
    double LinesPerSecond = 1000;
    /// Lines that may come at once.
    double Burst = 2000;
    /// Bytes that wait for a reader that is slow; more are dropped.
    std::size_t MaxPendingBytes = 1u << 20;
    /// How long a line waits for others, which share its system call.
    Millis Gather{50};
  };

  static std::shared_ptr<DecisionLog> create(boost::asio::io_context &Context,
                                             Settings Limits);
  ~DecisionLog();

  /// Writes one line; drops it, counted, when lines come too fast or nobody
  /// reads them.
  void line(std::string_view Event, const std::vector<EventField> &Fields);

  /// Hands what waits to the system now, as far as it takes it.
  void flush();

  std::uint64_t dropped() const { return Dropped; }

private:
  DecisionLog(boost::asio::io_context &Context, Settings Limits);
  bool admit();
  void arm();

  const Settings Limits;
  BootTimer Timer;
  std::string Pending;
  double Tokens;
  TimePoint LastRefill;
  std::uint64_t Dropped = 0;
  std::uint64_t Told = 0;
  bool Waiting = false;
};

} // namespace wasabi

#endif // WASABI_ADAPTERS_TELEMETRY_DECISIONLOG_H
