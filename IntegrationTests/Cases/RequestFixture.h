/// \file
/// Runs a small system of real processes for request tests: the platform's
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

constexpr Millis WaitTimeout{30000};

/// One process of the system.
struct MemberProcess {
  std::unique_ptr<harness::Process> Child;
  /// Address for callers of an entry, or for frames of a daemon.
  Address ListenAddress;
  Address Admin;
  Address Control;
};

/// All processes of one test; the destructor stops them. Not thread-safe.
class RequestFixture {
public:
  /// Starts the log and the instance list.
  RequestFixture();

  /// Starts a stand-in server, `engine` or `service`, with these flags.
  harness::StandIn &addServer(const std::string &Name, const std::string &Role,
                              std::vector<std::string> Flags = {});
  /// Starts a daemon for servers, given as server name to service. `Proxies`
  /// replaces the address of a server by that of a fault proxy.
  MemberProcess &
  addDaemon(const std::string &Name, const std::string &Domain,
            const std::map<std::string, std::string> &ServiceByServer,
            const std::map<std::string, Address> &Proxies = {});
  MemberProcess &addEntry(const std::string &Name, const std::string &Domain,
                          std::vector<std::string> Flags = {});
  /// Publishes declarations, given in the format of a declaration file.
  void publish(const std::string &Declarations);
  /// Waits until each entry sees this number of serving servers, and the
  /// declarations published last are in force on all.
  void waitForServers(std::size_t Count);

  harness::StandIn &log() { return *Log; }
  harness::StandIn &server(const std::string &Name) { return *Servers[Name]; }
  MemberProcess &member(const std::string &Name) { return Members[Name]; }
  /// Returns the number of runs in a plain service's own record.
  std::size_t runs(const std::string &Server);
  /// Kills a member.
  void kill(const std::string &Name);

  /// Sends a caller's request through an entry.
  Outcome<http::Response> sendRequest(const std::string &Entry,
                                      http::Request Request,
                                      Millis Timeout = WaitTimeout);

private:
  std::vector<std::string> platformFlags(const std::string &Name,
                                         const std::string &Domain);
  std::unique_ptr<harness::StandIn> Log;
  std::unique_ptr<harness::StandIn> Instances;
  std::map<std::string, std::unique_ptr<harness::StandIn>> Servers;
  std::map<std::string, MemberProcess> Members;
  std::string Seeds;
  std::uint64_t PublishedRecords = 0;
  std::uint64_t PublishedEnd = 0;
};

/// Builds a GET or POST for a plain service.
http::Request plainRequest(const std::string &Service,
                           const std::string &Method, const std::string &Path,
                           std::vector<http::Header> Headers = {},
                           std::string Body = "");

/// Builds a completion request for an engine.
http::Request completion(const std::string &Model, const std::string &Prompt,
                         int MaxTokens, bool Stream, int Seed = 7);

/// Returns the concatenated texts of a stream's chunks.
std::string streamedText(const std::string &Events);

} // namespace wasabi::test

#endif // WASABI_INTEGRATIONTESTS_CASES_REQUESTFIXTURE_H
