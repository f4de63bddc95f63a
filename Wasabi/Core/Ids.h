/// \file
/// Strongly typed names and identifiers.
#ifndef WASABI_CORE_IDS_H
#define WASABI_CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace wasabi {

/// A name that is only comparable to names of the same kind. Immutable in use.
template <typename Tag> struct Name {
  /// The name as written in declarations.
  std::string Text;

  Name() = default;
  explicit Name(std::string Value) : Text(std::move(Value)) {}
  bool empty() const { return Text.empty(); }
  auto operator<=>(const Name &) const = default;
};

/// An instance: a machine that runs a process of the system.
using InstanceName = Name<struct InstanceTag>;
/// A failure domain: a hall, site or zone.
using DomainName = Name<struct DomainTag>;
/// A declared service: a group of interchangeable model engines or plain
/// servers.
using ServiceName = Name<struct ServiceTag>;
/// An upstream server of a service, with one daemon in front of it.
using ServerName = Name<struct ServerTag>;
/// A declared trainer.
using TrainerName = Name<struct TrainerTag>;
/// A declared preset, such as ordinary, peak or maintenance.
using PresetName = Name<struct PresetTag>;
/// A customer, to whom requests and usage are attributed.
using CustomerName = Name<struct CustomerTag>;
/// A model, by its name at the engines and the weight store.
using ModelName = Name<struct ModelTag>;

/// Position of a record in a stream of the log.
using Offset = std::uint64_t;
/// Fencing token of a claim or lease, derived from its position in the log. A
/// greater token invalidates all lower ones.
using FencingToken = std::uint64_t;
/// Version number of a model's weights, assigned by its trainer.
using WeightVersion = std::uint64_t;
/// Start time of a process in wall microseconds. Distinguishes a restarted
/// process from its predecessor.
using Incarnation = std::uint64_t;
/// Start time of a server in Unix milliseconds by the server's clock; 0 if
/// unknown.
using ServerStartTime = std::uint64_t;

/// One run of a server process. A server that restarts under the same name is a
/// new incarnation: it has lost its state, and knowledge about the previous one
/// no longer applies. Immutable in use.
struct ServerIncarnation {
  ServerName Server;
  ServerStartTime Start = 0;
  auto operator<=>(const ServerIncarnation &) const = default;
};

} // namespace wasabi

template <typename Tag> struct std::hash<wasabi::Name<Tag>> {
  std::size_t operator()(const wasabi::Name<Tag> &Value) const noexcept {
    return std::hash<std::string>()(Value.Text);
  }
};

#endif // WASABI_CORE_IDS_H
