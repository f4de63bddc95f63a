#include "Wasabi/Dispatch/Dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace wasabi {

namespace asio = boost::asio;

//===--- Items and texts that are taken up --------------------------------===//

/// Brings in what the items of a job ask for and the texts that they go on
/// from, and lets each begin as soon as it has both.
asio::awaitable<void>
Dispatcher::load(std::vector<std::shared_ptr<ItemTask>> All) {
  std::shared_ptr<Dispatcher> self = shared_from_this();
  // Items of a job lie together: one read and one decoding serve dozens.
  LoadedItems near;
  std::vector<std::shared_ptr<ItemTask>> saved;
  for (const std::shared_ptr<ItemTask> &it : All) {
    LoadOutcome got = LoadOutcome::Later;
    while (!it->Dropped && got == LoadOutcome::Later) {
      got = co_await loadItem(*it, near);
      if (got == LoadOutcome::Later)
        co_await pauseFor(Executor, Limits.LoadPause);
    }
    // Nobody can do it any more; the others of its job can be done.
    if (got == LoadOutcome::Never)
      it->Dropped = true;
    if (it->Dropped)
      continue;
    if (savedText(*it) != nullptr)
      saved.push_back(it);
    else
      loaded(it);
  }
  loadSavedTexts(std::move(saved));
}

/// The text that a dispatcher before has saved of the item and that it may go
/// on from; null if there is none.
const SavedPartialText *Dispatcher::savedText(const ItemTask &Work) const {
  auto saved = Work.Job->Texts.find(Work.Index);
  if (saved == Work.Job->Texts.end() || !fits(saved->second.Text, Work))
    return nullptr;
  return &saved->second;
}

/// Fetches saved texts, several at a time and the longest first: they decide
/// when their step is whole. One after the other, a takeover of 400 items had
/// its last ones running again after 2 s.
void Dispatcher::loadSavedTexts(std::vector<std::shared_ptr<ItemTask>> All) {
  auto events = [this](const std::shared_ptr<ItemTask> &Of) {
    const SavedPartialText *saved = savedText(*Of);
    return saved == nullptr ? 0 : saved->Text.Events;
  };
  std::stable_sort(All.begin(), All.end(),
                   [&events](const auto &Left, const auto &Right) {
                     return events(Left) > events(Right);
                   });
  using Queue = std::deque<std::shared_ptr<ItemTask>>;
  std::shared_ptr<Queue> queue =
      std::make_shared<Queue>(All.begin(), All.end());
  std::size_t fetchers = std::min(Limits.MaxTextFetches, queue->size());
  for (std::size_t i = 0; i < fetchers; ++i)
    asio::co_spawn(
        Executor,
        [self = shared_from_this(), queue] { return self->fetchTexts(queue); },
        asio::detached);
}

asio::awaitable<void> Dispatcher::fetchTexts(
    std::shared_ptr<std::deque<std::shared_ptr<ItemTask>>> From) {
  while (!From->empty()) {
    std::shared_ptr<ItemTask> next = From->front();
    From->pop_front();
    if (!next->Dropped)
      co_await loadSavedText(*next);
    if (!next->Dropped)
      loaded(next);
  }
}

asio::awaitable<Dispatcher::LoadOutcome>
Dispatcher::loadItem(ItemTask &Work, LoadedItems &Near) {
  const ItemLocation &place = Work.Job->ItemLocations[Work.Index];
  if (place.Items.empty())
    co_return LoadOutcome::Loaded;
  std::optional<Failure> failed;
  if (Near.From != place.Items) {
    Outcome<std::vector<BatchItem>> items =
        co_await getItems(*Payloads, place.Items, Work.Job->Job.Id);
    if (items)
      Near = {place.Items, std::move(*items)};
    else
      failed = items.failure();
  }
  if (!failed && place.Index >= Near.Items.size())
    failed = Failure{Verdict::NotRun, FailureCode::BadInput,
                     "items of " + Work.Job->Job.Id.Text, "too few", Millis(0)};
  if (!failed) {
    Work.Item = Near.Items[place.Index];
    Work.Found = {};
    co_return LoadOutcome::Loaded;
  }
  Decisions->line("item.not_loaded",
                  {{"item", Work.Item.Id.Text}, {"reason", describe(*failed)}});
  bool gone = failed->Code == FailureCode::Expired ||
              failed->Code == FailureCode::BadInput;
  co_return gone ? LoadOutcome::Never : LoadOutcome::Later;
}

/// Takes the text that a dispatcher before has saved. One that can't be had is
/// generated anew.
asio::awaitable<void> Dispatcher::loadSavedText(ItemTask &Work) {
  const SavedPartialText *saved = savedText(Work);
  if (saved == nullptr)
    co_return;
  Outcome<PartialText> text = co_await loadText(*saved);
  if (text)
    Work.Text = std::move(*text);
  else
    Decisions->line("item.text_lost", {{"item", Work.Item.Id.Text},
                                       {"reason", describe(text.failure())}});
}

asio::awaitable<Outcome<PartialText>>
Dispatcher::loadText(SavedPartialText From) const {
  PartialText text = std::move(From.Text);
  for (const TextPiece &it : From.Pieces) {
    text.Output += it.Inline;
    Outcome<std::string> more =
        co_await Payloads->get(it.Location, ReadAhead::None);
    if (!more)
      co_return more.failure();
    text.Output += *more;
  }
  co_return text;
}

/// The item has all that it needs: it goes on from the longest text that is
/// known of it and that its job allows.
void Dispatcher::loaded(const std::shared_ptr<ItemTask> &Work) {
  auto carried = Carried.find({Work->Job->Job.Id.Customer, Work->Item.Id});
  if (carried != Carried.end() && carried->second.Events > Work->Text.Events &&
      fits(carried->second, *Work))
    Work->Text = carried->second;
  Work->Guard = std::make_shared<GuardedRequest>(GuardedRequest{
      digestOf(askOf(*Work), Work->Job->Job.Id.Customer), Work->Item.Id.Text});
  Work->Stage = ItemStage::Waiting;
  if (Work->Text.IsComplete)
    startScoring(Work);
  schedule();
}

//===--- Results ----------------------------------------------------------===//

namespace {

/// Results and texts of one append: together well under the store's limit.
constexpr std::size_t AppendBytes = 1000000;

/// Whether the topic shows a result of the item, or nobody waits for one.
bool settled(const BatchState &Fold, const ResultRecord &What) {
  std::shared_ptr<JobState> job = findJob(Fold, What.Job);
  if (!job || job->Ended)
    return true;
  auto it = job->Index.find(What.Result.Item.Text);
  return it == job->Index.end() || job->HasResult[it->second];
}

} // namespace

asio::awaitable<void> Dispatcher::commitLoop() {
  constexpr Millis Idle{10000};
  for (;;) {
    std::erase_if(Uncommitted, [this](const PendingResult &It) {
      return settled(Log->fold(), It.Record);
    });
    if (Uncommitted.empty()) {
      co_await CommitWake.wait(monotonicNow() + Idle);
      continue;
    }
    Outcome<Done> done = co_await commitOldestResults();
    if (done)
      continue;
    Decisions->line("results.append_failed",
                    {{"reason", describe(done.failure())}});
    co_await pauseFor(Executor, Limits.RetryDelay);
  }
}

/// Appends the oldest results: first the texts that stand for themselves, then
/// the records that name them. Only this function takes results away.
asio::awaitable<Outcome<Done>> Dispatcher::commitOldestResults() {
  std::vector<std::string> texts;
  std::vector<std::size_t> owners;
  std::size_t count = 0;
  std::size_t bytes = 0;
  for (; count < Uncommitted.size() && bytes <= AppendBytes; ++count) {
    const PendingResult &it = Uncommitted[count];
    bytes += it.Text.size() + it.Record.Result.Output.size();
    if (it.Text.empty())
      continue;
    texts.push_back(it.Text);
    owners.push_back(count);
  }
  if (!texts.empty()) {
    Outcome<std::vector<PayloadLocation>> places =
        co_await Payloads->put(std::move(texts));
    if (!places)
      co_return places.failure();
    for (std::size_t i = 0; i < owners.size(); ++i) {
      PendingResult &of = Uncommitted[owners[i]];
      of.Record.Result.OutputLocation = std::move((*places)[i]);
      of.Text.clear();
    }
  }
  std::vector<std::string> records;
  records.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    records.push_back(encodeRecord(Uncommitted[i].Record));
  Outcome<Offset> got = co_await Log->append(std::move(records));
  // An append of unknown outcome is made again: the first result counts.
  if (!got)
    co_return got.failure();
  Uncommitted.erase(Uncommitted.begin(),
                    Uncommitted.begin() + static_cast<std::ptrdiff_t>(count));
  co_return Done{};
}

//===--- Saved texts ------------------------------------------------------===//

/// What the topic does not have of a text: what came since it was saved last,
/// or, if this dispatcher has saved nothing of it, all.
PartialTextRecord Dispatcher::unsavedText(const ItemTask &Work) const {
  PartialTextRecord record{Work.Job->Job.Id, Work.Item.Id, Source,
                           Work.SavedEvents, Work.Text};
  record.Text.Output.erase(0, Work.SavedBytes);
  return record;
}

/// Puts long texts into the payload topic and gives the records that name them.
asio::awaitable<Outcome<std::vector<std::string>>>
Dispatcher::storeTexts(std::vector<PartialTextRecord> Texts) const {
  std::vector<std::string> payloads(Texts.size());
  for (std::size_t i = 0; i < Texts.size(); ++i) {
    if (Texts[i].Text.Output.size() > MaxInlineBytes)
      payloads[i].swap(Texts[i].Text.Output);
  }
  Outcome<std::vector<PayloadLocation>> places =
      co_await Payloads->put(std::move(payloads));
  if (!places)
    co_return places.failure();
  std::vector<std::string> records;
  records.reserve(Texts.size());
  for (std::size_t i = 0; i < Texts.size(); ++i) {
    Texts[i].OutputLocation = std::move((*places)[i]);
    records.push_back(encodeRecord(Texts[i]));
  }
  co_return records;
}

/// Saves what has grown, again and again. What the store did not take, or what
/// did not fit, follows without the usual pause: processes are killed in the
/// half second after an outage, when the texts have gone on for seconds
/// unsaved.
asio::awaitable<void> Dispatcher::saveLoop() {
  Millis pause = Limits.SaveInterval;
  for (;;) {
    co_await pauseFor(Executor, pause);
    pause = Limits.SaveInterval;
    std::vector<TextSave> due;
    std::size_t bytes = 0;
    for (const std::shared_ptr<ItemTask> &it : Works) {
      bool grown = it->Text.Events >= it->SavedEvents + Limits.MinSaveEvents;
      if (!Active || it->Stage != ItemStage::Running || !grown)
        continue;
      if (bytes > AppendBytes) {
        pause = Limits.RetryDelay;
        break;
      }
      due.push_back({it, unsavedText(*it)});
      bytes += due.back().Record.Text.Output.size();
    }
    if (due.empty())
      continue;
    bool saved = co_await saveTexts(std::move(due));
    if (!saved)
      pause = Limits.RetryDelay;
  }
}

/// False if the store did not take them, as far as is known.
asio::awaitable<bool> Dispatcher::saveTexts(std::vector<TextSave> Due) {
  std::vector<PartialText> saved;
  std::vector<PartialTextRecord> texts;
  for (TextSave &it : Due) {
    saved.push_back(it.Work->Text);
    texts.push_back(std::move(it.Record));
  }
  Outcome<std::vector<std::string>> records =
      co_await storeTexts(std::move(texts));
  std::optional<Failure> failed;
  if (!records)
    failed = records.failure();
  else {
    Outcome<Offset> got = co_await Log->append(std::move(*records));
    if (!got)
      failed = got.failure();
  }
  Decisions->line("texts.saved",
                  {{"texts", std::to_string(saved.size())},
                   {"result", failed ? describe(*failed) : "written"}});
  for (std::size_t i = 0; i < saved.size(); ++i) {
    ItemTask &work = *Due[i].Work;
    // A text that began anew meanwhile has nothing saved. After an append of
    // unknown outcome the next record holds the whole text.
    bool same = work.Text.Events >= saved[i].Events &&
                work.Text.Output.starts_with(saved[i].Output);
    work.SavedEvents = !failed && same ? saved[i].Events : 0;
    work.SavedBytes = !failed && same ? saved[i].Output.size() : 0;
  }
  co_return !failed;
}

} // namespace wasabi
