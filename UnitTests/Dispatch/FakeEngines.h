/// \file
/// In-memory engines that generate texts and inject faults.
#ifndef WASABI_UNITTESTS_DISPATCH_FAKEENGINES_H
#define WASABI_UNITTESTS_DISPATCH_FAKEENGINES_H

#include "Wasabi/Core/AsyncSignal.h"
#include "Wasabi/Ports/EnginePort.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace wasabi::batchtest {

/// One engine or scoring server.
struct FakeServer {
  WeightVersion Version = 1;
  /// Status of the responses that open a stream.
  unsigned Status = 200;
  /// Delay before each event.
  Millis EventDelay{2};
  /// Number of events after which a stream loses its connection; 0 for never.
  std::uint64_t BreakAfterEvents = 0;
  /// Sends texts without end, in events of this size; 0 for sound texts.
  std::size_t EndlessEventBytes = 0;
  bool RefusesConnections = false;
  /// True once the process has crashed; it then refuses connections.
  bool Crashed = false;
  /// Neither answers scoring calls nor sends events.
  bool Unresponsive = false;
  /// Items of the runs that were opened here, in order.
  std::vector<std::string> Runs;
};

/// All servers of a deployment. Not thread-safe; outlives its streams.
struct FakeEngines {
  explicit FakeEngines(boost::asio::io_context &Context) : Context(Context) {}

  EnginePort port();

  boost::asio::io_context &Context;
  std::map<ServerName, FakeServer> Servers;
  /// Item that crashes each server that runs it; empty for none.
  std::string CrashItem;
  /// Number of events that each run of `CrashItem` sends before the crash.
  std::uint64_t CrashAfterEvents = 0;
  /// Number of events of each text.
  std::uint64_t EventsPerText = 5;
  /// Statuses of the next scoring calls; 200 if empty.
  std::vector<unsigned> ScoreStatuses;
  /// Request identifiers of the answered scoring calls.
  std::vector<std::string> ScoredItems;
  /// Deadline of each scoring call.
  std::vector<Millis> ScoreDeadlines;
  /// Last event before each resumption.
  std::vector<std::uint64_t> ResumedAfter;
  /// Priority of the last run of each item; 255 if it had none.
  std::map<std::string, std::uint8_t> Priorities;
  /// Priorities of the scoring calls that had one.
  std::vector<std::uint8_t> ScorePriorities;
  /// Customers of all runs.
  std::set<std::string> Customers;

private:
  boost::asio::awaitable<Outcome<std::unique_ptr<EngineStream>>>
  open(UpstreamRegistration Server, SendOptions Options);
  boost::asio::awaitable<Outcome<ServerProbeResult>>
  probe(UpstreamRegistration Server);
  boost::asio::awaitable<Outcome<UpstreamResponse>>
  call(UpstreamRegistration Server, SendOptions Options);
};

} // namespace wasabi::batchtest

#endif // WASABI_UNITTESTS_DISPATCH_FAKEENGINES_H
