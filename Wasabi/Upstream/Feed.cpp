#include "Wasabi/Upstream/Feed.h"

#include "Wasabi/Adapters/Telemetry/Log.h"

namespace wasabi {

namespace {

void applyRecord(const FeedContext &Context, const std::string &Topic,
                 const std::function<Result<void>(const KeyedRecord &)> &Apply,
                 const KeyedRecord &Record) {
  Outcome<Done> applied = toOutcome<Done>([&]() -> Result<Done> {
    BOOST_LEAF_CHECK(Apply(Record));
    return Done{};
  });
  if (!applied)
    Context.Decisions->line(
        "record.rejected",
        {{"topic", Topic},
         {"key", sanitizeForLog(Record.Key, MaxLoggedTextBytes)},
         {"offset", std::to_string(Record.At)},
         {"reason",
          sanitizeForLog(describe(applied.failure()), MaxLoggedTextBytes)}});
}

} // namespace

std::shared_ptr<KeyedFollower>
startFeed(const FeedContext &Context, std::string Topic, Millis PollDelay,
          std::function<Result<void>(const KeyedRecord &)> Apply,
          std::function<void()> OnBatch) {
  KeyedFollower::Callbacks callbacks;
  callbacks.OnChange = [Context, Topic,
                        Apply = std::move(Apply)](const KeyedRecord &Record) {
    applyRecord(Context, Topic, Apply, Record);
  };
  callbacks.OnBatch = OnBatch ? std::move(OnBatch) : [] {};
  callbacks.OnAnswer = [Context] {
    TimePoint now = monotonicNow();
    if (noteAnswer(Context.View.Contact, now))
      Context.Decisions->line("store.regained", {});
    removeUnregisteredServers(Context.View.Servers, Context.View.Contact, now);
  };
  callbacks.OnFailure = [Context, Topic](const Failure &Error) {
    if (noteFailure(Context.View.Contact, monotonicNow()))
      Context.Decisions->line("store.lost",
                              {{"topic", Topic}, {"reason", describe(Error)}});
  };
  KeyedFollower::Settings settings;
  settings.Topic = std::move(Topic);
  settings.PollDelay = PollDelay;
  std::shared_ptr<KeyedFollower> follower =
      KeyedFollower::create(Context.Executor, Context.Store,
                            std::move(settings), std::move(callbacks));
  follower->start();
  return follower;
}

} // namespace wasabi
