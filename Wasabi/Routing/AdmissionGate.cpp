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
  explicit Waiter(const asio::any_io_executor &Executor) : Wakeup(Executor) {}
  BootTimer Wakeup;
  bool Started = false;
  std::optional<Failure> Refused;
};

AdmissionGate::AdmissionGate(asio::any_io_executor Executor, std::string Name,
                             Admission::Settings Setup)
    : Executor(std::move(Executor)),
      Queue(std::move(Name), Setup, monotonicNow()) {}

AdmissionGate::~AdmissionGate() = default;

asio::awaitable<Outcome<Done>>
AdmissionGate::enter(AdmissionRequest Request,
                     std::function<bool()> IsCallerGone) {
  const std::uint64_t id = Request.Id;
  const TimePoint deadline = Request.Deadline;
  AdmissionChange change = Queue.offer(std::move(Request), monotonicNow());
  // A request that starts immediately needs no waiter.
  bool started = change.Started.size() == 1 && change.Started.front() == id;
  if (started && change.Refused.empty())
    co_return Done{};

  std::shared_ptr<Waiter> waiter = std::make_shared<Waiter>(Executor);
  Waiters.emplace(id, waiter);
  apply(change);
  while (!waiter->Started && !waiter->Refused && !IsCallerGone()) {
    waiter->Wakeup.expires_at(deadline);
    co_await waiter->Wakeup.async_wait(Awaited);
    if (monotonicNow() >= deadline)
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
                    "the caller left while the request waited",
                    {}};
}

void AdmissionGate::apply(const AdmissionChange &Changes) {
  for (std::uint64_t it : Changes.Started) {
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator found =
        Waiters.find(it);
    if (found == Waiters.end())
      continue;
    found->second->Started = true;
    found->second->Wakeup.cancel();
  }
  for (const AdmissionRefusal &it : Changes.Refused) {
    std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator found =
        Waiters.find(it.Id);
    if (found == Waiters.end())
      continue;
    found->second->Refused = it.Why;
    found->second->Wakeup.cancel();
  }
}

void AdmissionGate::wake(std::uint64_t Id) {
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>>::iterator it =
      Waiters.find(Id);
  if (it != Waiters.end())
    it->second->Wakeup.cancel();
}

void AdmissionGate::finish(std::uint64_t Id) {
  apply(Queue.finish(Id, monotonicNow()));
}

void AdmissionGate::abandon(std::uint64_t Id, bool Overloaded) {
  Waiters.erase(Id);
  apply(Queue.abandon(Id, Overloaded, monotonicNow()));
}

void AdmissionPermit::finish() {
  Ended = true;
  Gate->finish(Id);
}

void AdmissionPermit::leave(bool Overloaded) {
  if (!Ended)
    Gate->abandon(Id, Overloaded);
}

void AdmissionGate::tick() { apply(Queue.tick(monotonicNow())); }

void AdmissionGate::setRolloutPercent(std::uint32_t Percent) {
  apply(Queue.setRolloutPercent(Percent, monotonicNow()));
}

void AdmissionGate::setSlots(std::uint32_t Slots) {
  apply(Queue.setSlots(Slots, monotonicNow()));
}

void AdmissionGate::holdRollouts(bool Held) {
  apply(Queue.holdRollouts(Held, monotonicNow()));
}

} // namespace wasabi
