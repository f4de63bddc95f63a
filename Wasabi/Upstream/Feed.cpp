#include "Wasabi/Upstream/Feed.h"

#include "Wasabi/Adapters/Telemetry/Log.h"

namespace wasabi {

namespace {

void takeLogged(const FeedContext &Parts, const std::string &Topic,
                const std::function<Result<void>(const KeyedRecord &)> &Take,
                const KeyedRecord &Record) {
  Outcome<Done> taken = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_CHECK(Take(Record));
    return Done{};
  });
  if (!taken)
    Parts.Decisions->line(
        "record.rejected",
        {{"topic", Topic},
         {"key", sanitizeForLog(Record.Key, MaxLoggedTextBytes)},
         {"offset", std::to_string(Record.At)},
         {"reason",
          sanitizeForLog(describe(taken.failure()), MaxLoggedTextBytes)}});
}

} // namespace

std::shared_ptr<KeyedFollower>
startFeed(const FeedContext &Parts, std::string Topic, Millis PollDelay,
          std::function<Result<void>(const KeyedRecord &)> Take) {
  KeyedFollower::Callbacks calls;
  calls.Changed = [Parts, Topic,
                   Take = std::move(Take)](const KeyedRecord &Record) {
    takeLogged(Parts, Topic, Take, Record);
  };
  calls.Answered = [Parts] {
    TimePoint now = monotonicNow();
    if (noteAnswer(Parts.View.Contact, now))
      Parts.Decisions->line("store.regained", {});
    removeUnregisteredServers(Parts.View.Servers, Parts.View.Contact, now);
  };
  calls.Failed = [Parts, Topic](const Failure &Why) {
    if (noteFailure(Parts.View.Contact, monotonicNow()))
      Parts.Decisions->line("store.lost",
                            {{"topic", Topic}, {"reason", describe(Why)}});
  };
  KeyedFollower::Settings limits;
  limits.Topic = std::move(Topic);
  limits.PollDelay = PollDelay;
  std::shared_ptr<KeyedFollower> follower = KeyedFollower::create(
      Parts.Executor, Parts.Store, std::move(limits), std::move(calls));
  follower->start();
  return follower;
}

} // namespace wasabi
