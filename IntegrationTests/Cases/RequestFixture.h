/// \file
/// A small system of real processes for the tests of requests: the platform's
/// stand-ins, plain services or engines, daemons and entries.
#ifndef WASABI_INTEGRATIONTESTS_CASES_REQUESTFIXTURE_H
#define WASABI_INTEGRATIONTESTS_CASES_REQUESTFIXTURE_H

#include "IntegrationTests/Harness/HttpCall.h"
#include "IntegrationTests/Harness/Process.h"
#include "IntegrationTests/Harness/StandIn.h"
#include "IntegrationTests/Harness/Waiting.h"

#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace wasabi::test {

constexpr Millis Patience{30000};

/// One process of the system.
struct Member {
  std::unique_ptr<harness::Process> Child;
  /// Callers' HTTP of an entry, frames of a daemon.
  Address ListenAddress;
  Address Admin;
  Address Control;
};

/// All processes of one test; ended with it. Not thread-safe.
class RequestFixture {
public:
  /// Starts the log and the instance list.
  RequestFixture();

  /// Starts a stand-in server, `engine` or `service`, with these flags.
  harness::StandIn &addServer(const std::string &Name, const std::string &Role,
                              std::vector<std::string> Flags = {});
  /// Starts a daemon before servers: server name to service. `Through` replaces
  /// the address of a server, for a fault proxy.
  Member &addDaemon(const std::string &Name, const std::string &Domain,
                    const std::map<std::string, std::string> &Servers,
                    const std::map<std::string, Address> &Through = {});
  Member &addEntry(const std::string &Name, const std::string &Domain,
                   std::vector<std::string> Flags = {});
  /// Publishes declarations, as in a file of them.
  void publish(const std::string &Declarations);
  /// Waits until each entry sees these many serving servers, and what was
  /// published last is in force on all.
  void waitForServers(std::size_t Count);

  harness::StandIn &log() { return *Log; }
  harness::StandIn &server(const std::string &Name) { return *Servers[Name]; }
  Member &member(const std::string &Name) { return Members[Name]; }
  /// The runs of a plain service that its own record holds.
  std::size_t runs(const std::string &Server);
  /// Ends a member at once.
  void kill(const std::string &Name);

  /// A caller's request through an entry.
  Outcome<http::Response> ask(const std::string &Entry, http::Request What,
                              Millis Limit = Patience);

private:
  std::vector<std::string> platformFlags(const std::string &Name,
                                         const std::string &Domain);
  std::unique_ptr<harness::StandIn> Log;
  std::unique_ptr<harness::StandIn> Instances;
  std::map<std::string, std::unique_ptr<harness::StandIn>> Servers;
  std::map<std::string, Member> Members;
  std::string Seeds;
  std::uint64_t Published = 0;
  std::uint64_t PublishedEnd = 0;
};

/// A GET or POST of a plain service.
http::Request plainRequest(const std::string &Service,
                           const std::string &Method, const std::string &Path,
                           std::vector<http::Header> Headers = {},
                           std::string Body = "");

/// An engine's completion.
http::Request completion(const std::string &Model, const std::string &Prompt,
                         int MaxTokens, bool Stream, int Seed = 7);

/// The texts of a stream's chunks, joined.
std::string streamedText(const std::string &Events);

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_CASES_REQUESTFIXTURE_H
