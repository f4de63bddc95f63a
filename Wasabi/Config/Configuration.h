/// \file
/// The declarations of operators as typed values. Declarations are JSON objects
/// with a `kind` and a `name`; together they are one `Configuration`, which is
/// valid as a whole or not at all. Names are 1 to 128 of `A-Z a-z 0-9 . _ -`.
///
///     {"kind":"service","name":"drafting-llm","type":"engines","model":"draft",
///      "placements":[{"domain":"lulea-hall","servers":3}],
///      "routes":[{"method":"GET","path_prefix":"/","idempotent":true}],
///      "checks_fences":true,"default_deadline_ms":60000}
///     {"kind":"trainer","name":"permits","model":"draft",
///      "endpoint":"10.0.0.9:7000","staleness_bound":1,"checks_fences":true}
///     {"kind":"attachment","name":"permits-drafting","trainer":"permits",
///      "service":"drafting-llm","share":1}
///     {"kind":"preset","name":"ordinary","admit_callers":true,
///      "admit_rollouts":true,"caller_priority":10,"rollout_priority":0,
///      "rollout_percent":100,"on_version_change":"resume","hedge_tail":true,
///      "swap_percent":34}
///     {"kind":"limit","name":"*","requests_per_second":100,"burst":100}
///     {"kind":"switch","name":"preset","preset":"ordinary"}
///
/// A service's `type` is `engines` (then with `model`) or `plain` (without).
#ifndef WASABI_CONFIG_CONFIGURATION_H
#define WASABI_CONFIG_CONFIGURATION_H

#include "Wasabi/Core/Address.h"
#include "Wasabi/Core/Clock.h"
#include "Wasabi/Core/Ids.h"
#include "Wasabi/Core/Verdict.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace wasabi {

/// Type of the servers of a service.
enum class ServiceKind : std::uint8_t { Engines, Plain };

/// Number of servers of a service in a failure domain.
struct Placement {
  DomainName Domain;
  std::uint32_t Servers = 0;
  bool operator==(const Placement &) const = default;
};

/// Marks requests as idempotent or not. The first matching rule applies;
/// without one, GET, HEAD, PUT, DELETE and OPTIONS are idempotent.
struct RouteRule {
  /// A method, or "*" for any.
  std::string Method = "*";
  /// Prefix of the path.
  std::string PathPrefix = "/";
  bool Idempotent = false;
  bool operator==(const RouteRule &) const = default;
};

/// Declaration of `kind: service`.
struct ServiceDeclaration {
  ServiceName Name;
  ServiceKind Kind = ServiceKind::Engines;
  /// Model of its engines; empty for plain services.
  ModelName Model;
  std::vector<Placement> Placements;
  std::vector<RouteRule> Routes;
  /// True if its engines reject a load request with an outdated fencing token.
  bool ChecksFences = true;
  /// Time limit of a request if its caller sets no deadline.
  Millis DefaultDeadline{60000};
  bool operator==(const ServiceDeclaration &) const = default;
};

/// Declaration of `kind: trainer`.
struct TrainerDeclaration {
  TrainerName Name;
  ModelName Model;
  /// Address of the trainer.
  Address Endpoint;
  /// Maximum number of versions by which a sample may be behind the latest
  /// published one.
  std::uint32_t StalenessBound = 1;
  /// True if the trainer rejects a delivery with an outdated fencing token and
  /// reports which slots it holds. Otherwise a delivery waits until it is in
  /// the log.
  bool ChecksFences = true;
  bool operator==(const TrainerDeclaration &) const = default;
};

/// Declaration of `kind: attachment`: allows a trainer to use a service's
/// engines.
struct Attachment {
  std::string Name;
  TrainerName Trainer;
  ServiceName Service;
  /// Share relative to the service's other trainers, at least 1.
  std::uint32_t Share = 1;
  bool operator==(const Attachment &) const = default;
};

/// How a running sample is treated when its model's version changes.
enum class VersionChange : std::uint8_t {
  /// The sample continues across the swap and is labelled accordingly.
  Resume,
  /// The engine swaps its weights after the sample has finished.
  Finish,
  /// The sample is cancelled and generated again.
  Restart,
};

/// Declaration of `kind: preset`.
struct PresetDeclaration {
  PresetName Name;
  /// True if new requests of callers are admitted.
  bool AdmitCallers = true;
  /// True if new samples are dispatched.
  bool AdmitRollouts = true;
  /// Priorities at admission and at the engines; higher values go first.
  std::int32_t CallerPriority = 10;
  std::int32_t RolloutPriority = 0;
  /// Maximum percentage of a server's concurrency that rollouts may use.
  std::uint32_t RolloutPercent = 100;
  VersionChange OnVersionChange = VersionChange::Resume;
  /// True if the last samples of a step may be run twice.
  bool HedgeTail = true;
  /// Maximum percentage of a service's servers that swap weights at the same
  /// time.
  std::uint32_t SwapPercent = 34;
  bool operator==(const PresetDeclaration &) const = default;
};

/// Declaration of `kind: limit`: rate limit of one caller over all entries.
struct CallerLimit {
  /// Name of the caller in its `X-Caller` header; "*" for all other callers.
  std::string Name;
  /// Requests per second, at least 1.
  std::uint32_t RequestsPerSecond = 100;
  /// Maximum number of unused requests that accumulate for a burst.
  std::uint32_t Burst = 100;
  bool operator==(const CallerLimit &) const = default;
};

/// All declarations, valid as a whole. An immutable value. `ActivePreset` is
/// the member `preset` of the object with `kind: switch` and name `preset`.
struct Configuration {
  std::map<ServiceName, ServiceDeclaration> Services;
  std::map<TrainerName, TrainerDeclaration> Trainers;
  std::map<std::string, Attachment> Attachments;
  std::map<PresetName, PresetDeclaration> Presets;
  std::map<std::string, CallerLimit> Limits;
  PresetName ActivePreset;

  bool operator==(const Configuration &) const = default;
  /// Returns the active preset, or the defaults if none is declared.
  const PresetDeclaration &preset() const;
};

/// Declarations by object key `kind/name`, as canonical JSON text (sorted keys,
/// no whitespace).
using ObjectTexts = std::map<std::string, std::string>;

/// Builds a configuration and checks types, unknown members, ranges and
/// references (attachment to trainer and service with the same model; switch to
/// preset). Errors: `BadInput`, place `kind/name: /json/path`. Pure,
/// thread-safe.
Result<Configuration> buildConfiguration(const ObjectTexts &Objects);

/// Returns `Base` with the objects of `Written` added or replaced and those of
/// `Removed` removed, checked as a whole. Parses only `Written`; the result
/// equals that of `buildConfiguration`. Errors as for `buildConfiguration`.
/// Pure, thread-safe.
Result<Configuration>
changeConfiguration(const Configuration &Base, const ObjectTexts &Written,
                    const std::vector<std::string> &Removed);

/// Parses the text of one file: an object or an array of objects. Returns
/// canonical texts by key. Errors: `BadInput`, place `File: /json/path`.
Result<ObjectTexts> parseDeclarations(std::string_view File,
                                      std::string_view Text);

/// Returns whether a request is idempotent by the service's routes. Pure.
bool isIdempotent(const ServiceDeclaration &Service, std::string_view Method,
                  std::string_view Path);

} // namespace wasabi

#endif // WASABI_CONFIG_CONFIGURATION_H
