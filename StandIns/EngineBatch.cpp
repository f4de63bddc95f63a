#include "StandIns/EngineBatch.h"

namespace wasabi::standins {

bool EngineBatch::submit(const Job &What) {
  if (Running.size() >= Limits.Slots && Queue.size() >= Limits.MaxQueue)
    return false;
  Queue[{-What->Ask.Priority, Arrivals++}] = What;
  fillSlots();
  return true;
}

void EngineBatch::remove(const Job &What) {
  Running.erase(What);
  std::erase_if(
      Queue,
      [&What](const std::pair<const std::pair<std::int64_t, std::uint64_t>, Job>
                  &Waiting) { return Waiting.second == What; });
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

bool EngineBatch::advanceJob(EngineJob &What, double Micros,
                             double TokensPerMicro, std::uint64_t Version) {
  // The prompt comes first; what is left of the time goes to tokens.
  double prefill = std::min(Micros, What.RemainingPrefillMicros);
  What.RemainingPrefillMicros -= prefill;
  What.TokenCredit += (Micros - prefill) * TokensPerMicro;
  std::uint64_t left = What.Length - std::min(What.Length, What.Position);
  std::uint64_t tokens =
      std::min(left, static_cast<std::uint64_t>(What.TokenCredit));
  if (tokens == 0)
    return What.finished();

  What.TokenCredit -= static_cast<double>(tokens);
  std::uint64_t end = What.Position + tokens;
  if (!What.Spans.empty() && What.Spans.back().Version == Version)
    What.Spans.back().To = end;
  else
    What.Spans.push_back(VersionSpan{What.Position, end, Version});
  What.Position = end;
  Generated += tokens;
  return true;
}

} // namespace wasabi::standins
