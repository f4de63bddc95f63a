#include "StandIns/EngineBatch.h"

namespace wasabi::standins {

bool EngineBatch::submit(const Job &Target) {
  if (Running.size() >= Limits.Slots && Queue.size() >= Limits.MaxQueue)
    return false;
  Queue[{-Target->Ask.Priority, Arrivals++}] = Target;
  fillSlots();
  return true;
}

void EngineBatch::remove(const Job &Target) {
  Running.erase(Target);
  std::erase_if(
      Queue,
      [&Target](
          const std::pair<const std::pair<std::int64_t, std::uint64_t>, Job>
              &Waiting) { return Waiting.second == Target; });
  fillSlots();
}

void EngineBatch::fillSlots() {
  while (Running.size() < Limits.Slots && !Queue.empty()) {
    Running.insert(Queue.begin()->second);
    Queue.erase(Queue.begin());
  }
}

std::vector<EngineBatch::Job> EngineBatch::advance(Micros Elapsed,
                                                   double TokensPerSecond,
                                                   std::uint64_t Version) {
  constexpr double MicrosPerSecond = 1e6;
  double micros = static_cast<double>(Elapsed.count());
  double perMicro = TokensPerSecond / MicrosPerSecond;
  std::vector<Job> changed;
  for (const Job &it : Running) {
    if (advanceJob(*it, micros, perMicro, Version))
      changed.push_back(it);
  }
  for (const Job &it : changed) {
    if (!it->finished())
      continue;
    it->Ended = true;
    Running.erase(it);
  }
  fillSlots();
  return changed;
}

bool EngineBatch::advanceJob(EngineJob &Target, double Micros,
                             double TokensPerMicro, std::uint64_t Version) {
  // Prefill comes first; the remaining time generates tokens.
  double prefill = std::min(Micros, Target.RemainingPrefillMicros);
  Target.RemainingPrefillMicros -= prefill;
  Target.TokenCredit += (Micros - prefill) * TokensPerMicro;
  std::uint64_t left = Target.Length - std::min(Target.Length, Target.Position);
  std::uint64_t tokens =
      std::min(left, static_cast<std::uint64_t>(Target.TokenCredit));
  if (tokens == 0)
    return Target.finished();

  Target.TokenCredit -= static_cast<double>(tokens);
  std::uint64_t end = Target.Position + tokens;
  if (!Target.Spans.empty() && Target.Spans.back().Version == Version)
    Target.Spans.back().To = end;
  else
    Target.Spans.push_back(VersionSpan{Target.Position, end, Version});
  Target.Position = end;
  Generated += tokens;
  return true;
}

} // namespace wasabi::standins
