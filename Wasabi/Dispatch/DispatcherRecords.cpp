#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

//===--- Loading of items and texts ---------------------------------------===//

/// Loads the requests and saved texts of the items of a job. Each item may run
/// as soon as both are loaded.
asio::awaitable<void>
Dispatcher::loadItems(std::vector<std::shared_ptr<ItemTask>> Items) {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  // Consecutive items share a payload, which is read and decoded once.
  LoadedItems cache;
  std::vector<std::shared_ptr<ItemTask>> saved;
  for (const std::shared_ptr<ItemTask> &it : Items) {
    LoadOutcome outcome = LoadOutcome::Retry;
    while (!it->Cancelled && outcome == LoadOutcome::Retry) {
      outcome = co_await loadItem(*it, cache);
      if (outcome == LoadOutcome::Retry)
        co_await pauseFor(Executor, Limits.LoadRetryDelay);
    }
    // The item is lost; the other items of its job can still run.
    if (outcome == LoadOutcome::Gone)
      it->Cancelled = true;
    if (it->Cancelled)
      continue;
    if (findSavedText(*it) != nullptr)
      saved.push_back(it);
    else
      onItemLoaded(it);
  }
  loadSavedTexts(std::move(saved));
}

/// Returns the saved text that the item may resume from; null if there is none.
const SavedPartialText *Dispatcher::findSavedText(const ItemTask &Task) const {
  auto saved = Task.Job->Texts.find(Task.Index);
  if (saved == Task.Job->Texts.end() ||
      !canResumeFrom(saved->second.Text, Task))
    return nullptr;
  return &saved->second;
}

/// Fetches saved texts concurrently, the longest first because they determine
/// when their step is complete. One after the other, the last of 400 items ran
/// again only 2 s after a takeover.
void Dispatcher::loadSavedTexts(std::vector<std::shared_ptr<ItemTask>> Items) {
  auto events = [this](const std::shared_ptr<ItemTask> &Task) {
    const SavedPartialText *saved = findSavedText(*Task);
    return saved == nullptr ? 0 : saved->Text.Events;
  };
  std::stable_sort(Items.begin(), Items.end(),
                   [&events](const auto &Left, const auto &Right) {
                     return events(Left) > events(Right);
                   });
  using Queue = std::deque<std::shared_ptr<ItemTask>>;
  std::shared_ptr<Queue> queue =
      std::make_shared<Queue>(Items.begin(), Items.end());
  std::size_t fetchers = std::min(Limits.MaxTextFetches, queue->size());
  for (std::size_t i = 0; i < fetchers; ++i)
    asio::co_spawn(
        Executor,
        [self = shared_from_this(), queue] { return self->fetchTexts(queue); },
        asio::detached);
}

asio::awaitable<void> Dispatcher::fetchTexts(
    std::shared_ptr<std::deque<std::shared_ptr<ItemTask>>> Queue) {
  while (!Queue->empty()) {
    std::shared_ptr<ItemTask> next = Queue->front();
    Queue->pop_front();
    if (!next->Cancelled)
      co_await loadSavedText(*next);
    if (!next->Cancelled)
      onItemLoaded(next);
  }
}

asio::awaitable<Dispatcher::LoadOutcome>
Dispatcher::loadItem(ItemTask &Task, LoadedItems &Cache) {
  const ItemLocation &location = Task.Job->ItemLocations[Task.Index];
  if (location.Items.empty())
    co_return LoadOutcome::Loaded;
  std::optional<Failure> failure;
  if (Cache.Location != location.Items) {
    Outcome<std::vector<BatchItem>> items =
        co_await getItems(*Payloads, location.Items, Task.Job->Job.Id);
    if (items)
      Cache = {location.Items, std::move(*items)};
    else
      failure = items.failure();
  }
  if (!failure && location.Index >= Cache.Items.size())
    failure =
        Failure{Verdict::NotRun, FailureCode::BadInput,
                "items of " + Task.Job->Job.Id.Text,
                "payload holds fewer items than the job refers to", Millis(0)};
  if (!failure) {
    Task.Item = Cache.Items[location.Index];
    Task.RouteCache = {};
    co_return LoadOutcome::Loaded;
  }
  Decisions->line("item.not_loaded", {{"item", Task.Item.Id.Text},
                                      {"reason", describe(*failure)}});
  bool gone = failure->Code == FailureCode::Expired ||
              failure->Code == FailureCode::BadInput;
  co_return gone ? LoadOutcome::Gone : LoadOutcome::Retry;
}

/// Loads the saved text of an item. If it cannot be read, the item starts from
/// the beginning.
asio::awaitable<void> Dispatcher::loadSavedText(ItemTask &Task) {
  const SavedPartialText *saved = findSavedText(Task);
  if (saved == nullptr)
    co_return;
  Outcome<PartialText> text = co_await loadText(*saved);
  if (text)
    Task.Text = std::move(*text);
  else
    Decisions->line("item.text_lost", {{"item", Task.Item.Id.Text},
                                       {"reason", describe(text.failure())}});
}

asio::awaitable<Outcome<PartialText>>
Dispatcher::loadText(SavedPartialText Saved) const {
  PartialText text = std::move(Saved.Text);
  for (const TextPiece &it : Saved.Pieces) {
    text.Output += it.Inline;
    Outcome<std::string> piece =
        co_await Payloads->get(it.Location, ReadAhead::None);
    if (!piece)
      co_return piece.failure();
    text.Output += *piece;
  }
  co_return text;
}

/// Makes a loaded item ready to run. It resumes from the longer of its saved
/// and its carried-over text, as far as its job allows.
void Dispatcher::onItemLoaded(const std::shared_ptr<ItemTask> &Task) {
  auto carried = CarriedTexts.find({Task->Job->Job.Id.Customer, Task->Item.Id});
  if (carried != CarriedTexts.end() &&
      carried->second.Events > Task->Text.Events &&
      canResumeFrom(carried->second, *Task))
    Task->Text = carried->second;
  Task->Stage = ItemStage::Waiting;
  schedule();
}

/// Has the complete text of an item scored, unless its route requires a single
/// version and the text has several: then the item starts from the beginning.
/// Precondition: the route of the item is known.
void Dispatcher::resumeComplete(const std::shared_ptr<ItemTask> &Task) {
  if (Task->Text.Versions.size() > 1 && requiresSingleVersion(*Task))
    clearText(*Task);
  else
    startScoring(Task);
}

//===--- Results ----------------------------------------------------------===//

namespace {

/// Size above which a batch of results or texts takes no more entries, in
/// bytes. Well below the limit of the store.
constexpr std::size_t MaxBatchBytes = 1000000;

/// Returns true if the item has a committed result or no longer needs one.
bool isSettled(const BatchState &State, const ResultRecord &Record) {
  std::shared_ptr<JobState> job = findJob(State, Record.Job);
  if (!job || job->Ended)
    return true;
  auto it = job->Index.find(Record.Result.Item.Text);
  return it == job->Index.end() || job->HasResult[it->second];
}

} // namespace

asio::awaitable<void> Dispatcher::commitLoop() {
  constexpr Millis IdleInterval{10000};
  for (;;) {
    std::erase_if(Uncommitted, [this](const PendingResult &It) {
      return isSettled(Log->fold(), It.Record);
    });
    if (Uncommitted.empty()) {
      co_await CommitWake.wait(monotonicNow() + IdleInterval);
      continue;
    }
    Outcome<Done> done = co_await commitNextResults();
    if (done)
      continue;
    Decisions->line("results.append_failed",
                    {{"reason", describe(done.failure())}});
    co_await pauseFor(Executor, Limits.RetryDelay);
  }
}

/// Returns the properties of the pending results, in their present order.
std::vector<CommitEntry> Dispatcher::pendingCommits() const {
  std::vector<CommitEntry> entries;
  entries.reserve(Uncommitted.size());
  for (const PendingResult &it : Uncommitted)
    entries.push_back({it.Due, it.Step, it.FinishedAt,
                       it.Text.size() + it.Record.Result.Output.size()});
  return entries;
}

/// Appends the results of the steps that are due first: first the texts that
/// are stored as payloads, then the records that refer to them. Removes the
/// appended results from `Uncommitted`; nothing else may remove or reorder
/// results while this function runs.
asio::awaitable<Outcome<Done>> Dispatcher::commitNextResults() {
  TimePoint now = monotonicNow();
  std::vector<CommitEntry> entries = pendingCommits();
  std::vector<CommitEntry> sorted;
  std::vector<PendingResult> results;
  for (std::size_t it : sortForCommit(entries, now)) {
    sorted.push_back(entries[it]);
    results.push_back(std::move(Uncommitted[it]));
  }
  Uncommitted = std::move(results);
  std::size_t count = commitBatchSize(sorted, MaxBatchBytes);
  if (hasCommitBacklog(entries, Limits.MaxCommitDelay, now))
    Decisions->line("results.backlog",
                    {{"waiting", std::to_string(sorted.size())},
                     {"appended", std::to_string(count)},
                     {"overdue", std::to_string(std::count_if(
                                     sorted.begin(), sorted.end(),
                                     [now](const CommitEntry &It) {
                                       return commitRank(It, now).Overdue;
                                     }))}});
  std::vector<std::string> texts;
  std::vector<std::size_t> indices;
  for (std::size_t i = 0; i < count; ++i) {
    if (Uncommitted[i].Text.empty())
      continue;
    texts.push_back(Uncommitted[i].Text);
    indices.push_back(i);
  }
  if (!texts.empty()) {
    Outcome<std::vector<PayloadLocation>> locations =
        co_await Payloads->put(texts);
    if (!locations)
      co_return locations.failure();
    for (std::size_t i = 0; i < indices.size(); ++i) {
      PendingResult &result = Uncommitted[indices[i]];
      result.Record.Result.OutputLocation = std::move((*locations)[i]);
      result.Text.clear();
    }
  }
  std::vector<std::string> records;
  records.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    records.push_back(encodeRecord(Uncommitted[i].Record));
  Outcome<Offset> appended = co_await Log->append(std::move(records));
  // Repeating an append of unknown outcome is safe: the first result counts.
  if (!appended)
    co_return appended.failure();
  Uncommitted.erase(Uncommitted.begin(),
                    Uncommitted.begin() + static_cast<std::ptrdiff_t>(count));
  co_return Done{};
}

//===--- Saved texts ------------------------------------------------------===//

/// Returns a record of the part of a text that this dispatcher has not saved
/// yet, which is the whole text if it has saved none.
PartialTextRecord Dispatcher::unsavedText(const ItemTask &Task) const {
  PartialTextRecord record{Task.Job->Job.Id, Task.Item.Id, Source,
                           Task.SavedEvents, Task.Text};
  record.Text.Output.erase(0, Task.SavedBytes);
  return record;
}

/// Writes long texts to the payload topic, and the records of all to the
/// rollout topic.
asio::awaitable<Outcome<Offset>>
Dispatcher::appendTexts(std::vector<PartialTextRecord> Texts) const {
  std::vector<std::string> payloads(Texts.size());
  for (std::size_t i = 0; i < Texts.size(); ++i) {
    if (Texts[i].Text.Output.size() > MaxInlineBytes)
      payloads[i].swap(Texts[i].Text.Output);
  }
  Outcome<std::vector<PayloadLocation>> locations =
      co_await Payloads->put(payloads);
  if (!locations)
    co_return locations.failure();
  std::vector<std::string> records;
  records.reserve(Texts.size());
  for (std::size_t i = 0; i < Texts.size(); ++i) {
    Texts[i].OutputLocation = std::move((*locations)[i]);
    records.push_back(encodeRecord(Texts[i]));
  }
  co_return co_await Log->append(std::move(records));
}

/// Saves the texts that have grown, periodically, unless results wait for their
/// append. After a failed append or a
/// full batch, saves again after `RetryDelay` to keep the unsaved part short:
/// texts grow unsaved for seconds during an outage, and processes are killed in
/// the half second after it.
asio::awaitable<void> Dispatcher::saveLoop() {
  Millis delay = Limits.SaveInterval;
  for (;;) {
    co_await pauseFor(Executor, delay);
    delay = Limits.SaveInterval;
    if (hasCommitBacklog(pendingCommits(), Limits.MaxCommitDelay,
                         monotonicNow())) {
      delay = Limits.RetryDelay;
      continue;
    }
    std::vector<TextSave> due;
    std::size_t bytes = 0;
    for (const std::shared_ptr<ItemTask> &it : Tasks) {
      bool grown = it->Text.Events >= it->SavedEvents + Limits.MinSaveEvents;
      if (!Active || it->Stage != ItemStage::Running || !grown)
        continue;
      if (bytes > MaxBatchBytes) {
        delay = Limits.RetryDelay;
        break;
      }
      due.push_back({it, unsavedText(*it)});
      bytes += due.back().Record.Text.Output.size();
    }
    if (due.empty())
      continue;
    bool saved = co_await saveTexts(std::move(due));
    if (!saved)
      delay = Limits.RetryDelay;
  }
}

/// Saves texts and returns true if the append is known to have succeeded.
asio::awaitable<bool> Dispatcher::saveTexts(std::vector<TextSave> Due) {
  std::vector<PartialText> saved;
  std::vector<PartialTextRecord> texts;
  for (TextSave &it : Due) {
    saved.push_back(it.Task->Text);
    texts.push_back(std::move(it.Record));
  }
  Outcome<Offset> appended = co_await appendTexts(std::move(texts));
  Decisions->line(
      "texts.saved",
      {{"texts", std::to_string(saved.size())},
       {"result", appended ? "written" : describe(appended.failure())}});
  for (std::size_t i = 0; i < saved.size(); ++i) {
    ItemTask &task = *Due[i].Task;
    // Nothing is saved of a text that was restarted during the append. After a
    // failed append, the next record contains the whole text.
    bool same = task.Text.Events >= saved[i].Events &&
                task.Text.Output.starts_with(saved[i].Output);
    task.SavedEvents = appended && same ? saved[i].Events : 0;
    task.SavedBytes = appended && same ? saved[i].Output.size() : 0;
  }
  co_return bool(appended);
}

} // namespace wasabi
