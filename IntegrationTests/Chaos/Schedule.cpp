#include "IntegrationTests/Chaos/Schedule.h"

#include <algorithm>
#include <random>
#include <utility>

namespace wasabi::chaos {

namespace {

/// A kind of fault with its name and its relative frequency.
struct FaultRow {
  FaultKind Kind;
  std::string_view Name;
  std::uint32_t Weight;
};

constexpr FaultRow FaultRows[] = {
    {FaultKind::KillDaemon, "kill-daemon", 4},
    {FaultKind::KillEntry, "kill-entry", 2},
    {FaultKind::PauseDaemon, "pause-daemon", 3},
    {FaultKind::PauseEntry, "pause-entry", 1},
    {FaultKind::PauseDaemonLong, "pause-daemon-long", 2},
    {FaultKind::StopDaemon, "stop-daemon", 4},
    {FaultKind::StopEntry, "stop-entry", 2},
    {FaultKind::KillEngine, "kill-engine", 2},
    {FaultKind::EngineHang, "engine-hang", 1},
    {FaultKind::EngineSlow, "engine-slow", 2},
    {FaultKind::EngineSwapFails, "engine-swap-fails", 2},
    {FaultKind::EngineWrongVersion, "engine-wrong-version", 2},
    {FaultKind::EngineLosesOrderAnswer, "engine-loses-order-answer", 2},
    {FaultKind::ServiceHang, "service-hang", 1},
    {FaultKind::ServiceResetsBeforeAnswer, "service-resets-before-answer", 2},
    {FaultKind::ServiceResetsMidAnswer, "service-resets-mid-answer", 2},
    {FaultKind::LogOutage, "log-outage", 3},
    {FaultKind::LogOutageLong, "log-outage-long", 2},
    {FaultKind::LogSlow, "log-slow", 1},
    {FaultKind::LogLosesAnswers, "log-loses-answers", 3},
    {FaultKind::LogStaleTail, "log-stale-tail", 1},
    {FaultKind::StoreOutage, "store-outage", 2},
    {FaultKind::InstancesOutage, "instances-outage", 1},
    {FaultKind::TrainerOutage, "trainer-outage", 1},
    {FaultKind::TrainerLosesAnswers, "trainer-loses-answers", 3},
    {FaultKind::ScorerFails, "scorer-fails", 1},
    {FaultKind::LinkDelay, "link-delay", 2},
    {FaultKind::LinkCut, "link-cut", 3},
    {FaultKind::LinkHalfOpen, "link-half-open", 2},
    {FaultKind::LinkRefuses, "link-refuses", 2},
    {FaultKind::LinkLosesAnswers, "link-loses-answers", 2},
    {FaultKind::LinkSlow, "link-slow", 1},
    {FaultKind::DomainPartitioned, "domain-cut-off", 2},
    {FaultKind::ConcurrentOperators, "operators-race", 3},
    {FaultKind::SwitchPreset, "switch-preset", 2},
};

/// Fault-free time before the first fault and around an isolated planned stop.
constexpr Millis Warmup{2000};
constexpr Millis FaultFreeTime{4000};
/// Maximum time between two draws.
constexpr std::uint32_t MaxGapMs = 2500;
constexpr std::uint32_t MinLengthMs = 300;
constexpr std::uint32_t MaxLengthMs = 4000;
/// Added to a long fault, which must outlast a claim of 10 s.
constexpr Millis LongFaultExtension{11000};
/// Delay before a fault is repeated.
constexpr Millis RepeatDelay{700};
/// Probabilities in percent of the draws.
constexpr std::uint32_t ConcurrentPercent = 30;
constexpr std::uint32_t RepeatPercent = 20;
constexpr std::uint32_t IsolatedPercent = 60;
constexpr std::uint32_t MaxTarget = 1000;

/// Random numbers that are the same with every standard library, unlike the
/// distributions of the standard library.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : Engine(Seed) {}
  /// Returns a number from 0 to `limit`, exclusive.
  std::uint32_t below(std::uint32_t limit) {
    return static_cast<std::uint32_t>(Engine() % limit);
  }
  bool percent(std::uint32_t share) { return below(100) < share; }

private:
  std::mt19937_64 Engine;
};

FaultKind drawKind(RandomSource &draw) {
  std::uint32_t total = 0;
  for (const FaultRow &it : FaultRows)
    total += it.Weight;
  std::uint32_t left = draw.below(total);
  for (const FaultRow &it : FaultRows) {
    if (left < it.Weight)
      return it.Kind;
    left -= it.Weight;
  }
  return FaultKind::KillDaemon;
}

Fault drawFault(RandomSource &draw, Millis at) {
  Fault drawn;
  drawn.At = at;
  drawn.Kind = drawKind(draw);
  drawn.Duration = Millis(MinLengthMs + draw.below(MaxLengthMs - MinLengthMs));
  if (drawn.Kind == FaultKind::PauseDaemonLong ||
      drawn.Kind == FaultKind::LogOutageLong)
    drawn.Duration += LongFaultExtension;
  drawn.Target = draw.below(MaxTarget);
  return drawn;
}

std::vector<Fault> sortByTime(std::vector<Fault> schedule) {
  std::stable_sort(
      schedule.begin(), schedule.end(),
      [](const Fault &left, const Fault &right) { return left.At < right.At; });
  return schedule;
}

bool stopsProcess(FaultKind kind) {
  return kind == FaultKind::StopDaemon || kind == FaultKind::StopEntry;
}

} // namespace

std::string_view toText(FaultKind Kind) {
  for (const FaultRow &it : FaultRows) {
    if (it.Kind == Kind)
      return it.Name;
  }
  return "unknown";
}

bool isPlanned(FaultKind Kind) {
  return stopsProcess(Kind) || Kind == FaultKind::ConcurrentOperators ||
         Kind == FaultKind::SwitchPreset;
}

std::vector<Fault> makeSchedule(std::uint64_t Seed, Millis Length) {
  RandomSource draw(Seed);
  std::vector<Fault> schedule;
  Millis at = Warmup;
  Millis busyUntil = at;
  while (true) {
    at += Millis(draw.below(MaxGapMs));
    Fault drawn = drawFault(draw, at);
    // Most planned stops are isolated from other faults.
    if (stopsProcess(drawn.Kind) && draw.percent(IsolatedPercent)) {
      drawn.WithoutOtherFaults = true;
      drawn.At = std::max(at, busyUntil + FaultFreeTime);
      if (drawn.At + drawn.Duration <= Length)
        at = drawn.At + drawn.Duration + FaultFreeTime;
    }
    if (at >= Length)
      return sortByTime(std::move(schedule));
    if (drawn.At + drawn.Duration > Length)
      continue;
    busyUntil = std::max(busyUntil, drawn.At + drawn.Duration);
    schedule.push_back(drawn);
    if (drawn.WithoutOtherFaults)
      continue;
    // Repeats the fault while its first effects may still last.
    Fault repeated = drawn;
    repeated.At += RepeatDelay;
    if (draw.percent(RepeatPercent) &&
        repeated.At + repeated.Duration <= Length) {
      busyUntil = std::max(busyUntil, repeated.At + repeated.Duration);
      schedule.push_back(repeated);
      at = repeated.At;
    }
    // Adds another fault at the same time.
    if (draw.percent(ConcurrentPercent)) {
      Fault other = drawFault(draw, drawn.At);
      if (other.At + other.Duration <= Length) {
        busyUntil = std::max(busyUntil, other.At + other.Duration);
        schedule.push_back(other);
      }
    }
  }
}

std::string describe(const std::vector<Fault> &Schedule) {
  std::string text;
  for (const Fault &it : Schedule) {
    text += "fault: at_ms=" + std::to_string(it.At.count());
    text += " for_ms=" + std::to_string(it.Duration.count()) + " ";
    text += toText(it.Kind);
    text += " target=" + std::to_string(it.Target);
    text += it.WithoutOtherFaults ? " alone\n" : "\n";
  }
  return text;
}

} // namespace wasabi::chaos
