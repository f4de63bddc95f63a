/// \file
/// Engines in memory that generate texts and fail as they are told to.
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

/// One engine or plain server.
struct FakeServer {
  WeightVersion Version = 1;
  /// Status of its answers.
  unsigned Status = 200;
  /// Pause before each event.
  Millis Pace{2};
  /// A run breaks off after so many events; 0 for never.
  std::uint64_t BreakAfterEvents = 0;
  /// Refuses connections.
  bool Refuses = false;
  /// Its process has ended: it refuses connections.
  bool Ended = false;
  /// Neither answers nor sends events.
  bool Unresponsive = false;
  /// Runs that began here, by item.
  std::vector<std::string> Runs;
};

/// All servers of a deployment. Used on one thread; outlives its streams.
struct FakeEngines {
  explicit FakeEngines(boost::asio::io_context &Context) : Context(Context) {}

  EnginePort port();

  boost::asio::io_context &Context;
  std::map<ServerName, FakeServer> Servers;
  /// The item that ends each server which begins to run it; empty for none.
  std::string CrashOn;
  /// Events that each run of it makes before.
  std::uint64_t CrashAfterEvents = 0;
  /// Events of each text.
  std::uint64_t Length = 5;
  /// Statuses of the next scoring calls; 200 when there are none.
  std::vector<unsigned> ScoreStatuses;
  /// Scoring calls, by the scored text's item.
  std::vector<std::string> Scored;
  /// Time that each scoring call was given.
  std::vector<Millis> ScoreDeadlines;
  /// Resumptions, by the event that they went on after.
  std::vector<std::uint64_t> Resumed;
  /// Customers that runs were told to be for.
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
