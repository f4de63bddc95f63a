#include "Wasabi/Routing/AdmissionGate.h"
#include "Wasabi/Core/BootTimer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wasabi {
namespace {

namespace asio = boost::asio;

constexpr asio::as_tuple_t<asio::use_awaitable_t<>> Awaited;

} // namespace

struct AdmissionGate::Waiter {
  explicit Waiter(const asio::any_io_executor &Executor) : Changed(Executor) {}
  BootTimer Changed;
  bool Started = false;
  std::optional<Failure> Refused;
};

AdmissionGate::AdmissionGate(asio::any_io_executor Executor, std::string Name,
                             Admission::Settings Setup)
    : Executor(std::move(Executor)),
      Rules(std::move(Name), Setup, monotonicNow()) {}

AdmissionGate::~AdmissionGate() = default;

asio::awaitable<Outcome<Done>>
AdmissionGate::enter(AdmissionRequest Ask, std::function<bool()> Gone) {
  const std::uint64_t id = Ask.Id;
  const TimePoint until = Ask.Deadline;
  AdmissionChange change = Rules.offer(std::move(Ask), monotonicNow());
  // Most requests start at once and need no waiter.
  bool started = change.Started.size() == 1 && change.Started.front() == id;
  if (started && change.Refused.empty())
    co_return Done{};

  std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(Executor);
  Waiters.emplace(id, waiter);
  apply(change);
  while (!waiter->Started && !waiter->Refused && !Gone()) {
    waiter->Changed.expires_at(until);
    co_await waiter->Changed.async_wait(Awaited);
    if (monotonicNow() >= until)
      tick();
  }
  Waiters.erase(id);
  if (waiter->Refused)
    co_return *waiter->Refused;
  if (waiter->Started)
    co_return Done{};
  abandon(id, false);
  co_return Failure{Verdict::NotRun,
                    FailureCode::Cancelled,
                    "admission",
                    "the asker left while it waited",
                    {}};
}

void AdmissionGate::apply(const AdmissionChange &Change) {
  for (std::uint64_t it : Change.Started) {
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator found =
        Waiters.find(it);
    if (found == Waiters.end())
      continue;
    found->second->Started = true;
    found->second->Changed.cancel();
  }
  for (const AdmissionRefusal &it : Change.Refused) {
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator found =
        Waiters.find(it.Id);
    if (found == Waiters.end())
      continue;
    found->second->Refused = it.Why;
    found->second->Changed.cancel();
  }
}

void AdmissionGate::wake(std::uint64_t Id) {
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it =
      Waiters.find(Id);
  if (it != Waiters.end())
    it->second->Changed.cancel();
}

void AdmissionGate::finish(std::uint64_t Id) {
  apply(Rules.finish(Id, monotonicNow()));
}

void AdmissionGate::abandon(std::uint64_t Id, bool Overloaded) {
  Waiters.erase(Id);
  apply(Rules.abandon(Id, Overloaded, monotonicNow()));
}

void AdmissionPermit::finish() {
  Ended = true;
  In->finish(Id);
}

void AdmissionPermit::leave(bool Overloaded) {
  if (!Ended)
    In->abandon(Id, Overloaded);
}

void AdmissionGate::tick() { apply(Rules.tick(monotonicNow())); }

void AdmissionGate::setRolloutPercent(std::uint32_t Percent) {
  apply(Rules.setRolloutPercent(Percent, monotonicNow()));
}

void AdmissionGate::setSlots(std::uint32_t Slots) {
  apply(Rules.setSlots(Slots, monotonicNow()));
}

void AdmissionGate::holdRollouts(bool Held) {
  apply(Rules.holdRollouts(Held, monotonicNow()));
}

} // namespace wasabi
