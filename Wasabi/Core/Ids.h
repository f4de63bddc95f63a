/// \file
/// Names of things, each its own type so that one cannot stand for another.
#ifndef WASABI_CORE_IDS_H
#define WASABI_CORE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace wasabi {

/// A name that only compares with names of its own kind. Immutable in use.
template <typename Tag> struct Name {
  /// The name as operators write it.
  std::string Text;

  Name() = default;
  explicit Name(std::string Value) : Text(std::move(Value)) {}
  bool empty() const { return Text.empty(); }
  auto operator<=>(const Name &) const = default;
};

/// One machine slot that a process of the system runs on.
using InstanceName = Name<struct InstanceTag>;
/// A hall, site or zone that fails as one.
using DomainName = Name<struct DomainTag>;
/// A declared service: model engines or plain servers that answer alike.
using ServiceName = Name<struct ServiceTag>;
/// One upstream server of a service, fronted by one daemon.
using ServerName = Name<struct ServerTag>;
/// A declared trainer.
using TrainerName = Name<struct TrainerTag>;
/// A declared preset: ordinary, peak, maintenance.
using PresetName = Name<struct PresetTag>;
/// A customer: who calls, and whose requests are counted together.
using CustomerName = Name<struct CustomerTag>;
/// A model as the engines and the weight store name it.
using ModelName = Name<struct ModelTag>;

/// Position of a record in one stream of the platform's log.
using Offset = std::uint64_t;
/// Offset of the claim that gave an authority; a greater one fences it off.
using FencingToken = std::uint64_t;
/// Version of a model's weights, counted by its trainer.
using WeightVersion = std::uint64_t;
/// Start of a process, in wall microseconds: a restarted process is another.
using Incarnation = std::uint64_t;
/// When a server started, in Unix milliseconds by its own clock; 0 if it does
/// not say.
using ServerStartTime = std::uint64_t;

/// One server from a start to its end. A server may start again under the name
/// that it had: it then knows nothing of before, and nothing that was known of
/// it holds. Immutable in use.
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
