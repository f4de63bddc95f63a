#include "IntegrationTests/Chaos/Schedule.h"

#include <algorithm>
#include <random>
#include <utility>

namespace wasabi::chaos {

namespace {

/// A kind of fault with its name and how often it is drawn.
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

/// Calm before the first fault, and around a planned stop that is alone.
constexpr Millis Warmup{2000};
constexpr Millis FaultFreeTime{4000};
/// The longest stretch between two draws.
constexpr std::uint32_t MaxGapMs = 2500;
constexpr std::uint32_t MinLengthMs = 300;
constexpr std::uint32_t MaxLengthMs = 4000;
/// Added to a long fault: claims are taken for 10 s.
constexpr Millis LongExtra{11000};
/// A fault that strikes twice does so after this.
constexpr Millis Again{700};
/// Out of a hundred draws.
constexpr std::uint32_t TogetherPercent = 30;
constexpr std::uint32_t TwicePercent = 20;
constexpr std::uint32_t AlonePercent = 60;
constexpr std::uint32_t MaxTarget = 1000;

/// Draws that are the same with every standard library, unlike its
/// distributions.
class Draw {
public:
  explicit Draw(std::uint64_t Seed) : Engine(Seed) {}
  /// From 0 to `limit`, the latter excluded.
  std::uint32_t below(std::uint32_t limit) {
    return static_cast<std::uint32_t>(Engine() % limit);
  }
  bool percent(std::uint32_t share) { return below(100) < share; }

private:
  std::mt19937_64 Engine;
};

FaultKind drawKind(Draw &draw) {
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

Fault drawFault(Draw &draw, Millis at) {
  Fault drawn;
  drawn.At = at;
  drawn.Kind = drawKind(draw);
  drawn.For = Millis(MinLengthMs + draw.below(MaxLengthMs - MinLengthMs));
  if (drawn.Kind == FaultKind::PauseDaemonLong ||
      drawn.Kind == FaultKind::LogOutageLong)
    drawn.For += LongExtra;
  drawn.Target = draw.below(MaxTarget);
  return drawn;
}

std::vector<Fault> byTime(std::vector<Fault> schedule) {
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
  Draw draw(Seed);
  std::vector<Fault> schedule;
  Millis at = Warmup;
  Millis busyUntil = at;
  while (true) {
    at += Millis(draw.below(MaxGapMs));
    Fault drawn = drawFault(draw, at);
    // Most planned stops come when nothing else is wrong.
    if (stopsProcess(drawn.Kind) && draw.percent(AlonePercent)) {
      drawn.WithoutOtherFaults = true;
      drawn.At = std::max(at, busyUntil + FaultFreeTime);
      if (drawn.At + drawn.For <= Length)
        at = drawn.At + drawn.For + FaultFreeTime;
    }
    if (at >= Length)
      return byTime(std::move(schedule));
    if (drawn.At + drawn.For > Length)
      continue;
    busyUntil = std::max(busyUntil, drawn.At + drawn.For);
    schedule.push_back(drawn);
    if (drawn.WithoutOtherFaults)
      continue;
    // The same again, while its first time may still be felt.
    Fault twice = drawn;
    twice.At += Again;
    if (draw.percent(TwicePercent) && twice.At + twice.For <= Length) {
      busyUntil = std::max(busyUntil, twice.At + twice.For);
      schedule.push_back(twice);
      at = twice.At;
    }
    // Another at the same moment.
    if (draw.percent(TogetherPercent)) {
      Fault other = drawFault(draw, drawn.At);
      if (other.At + other.For <= Length) {
        busyUntil = std::max(busyUntil, other.At + other.For);
        schedule.push_back(other);
      }
    }
  }
}

std::string describe(const std::vector<Fault> &Schedule) {
  std::string text;
  for (const Fault &it : Schedule) {
    text += "fault: at_ms=" + std::to_string(it.At.count());
    text += " for_ms=" + std::to_string(it.For.count()) + " ";
    text += toText(it.Kind);
    text += " target=" + std::to_string(it.Target);
    text += it.WithoutOtherFaults ? " alone\n" : "\n";
  }
  return text;
}

} // namespace wasabi::chaos
