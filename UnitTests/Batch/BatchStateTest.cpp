#include "Wasabi/Batch/BatchState.h"
#include "UnitTests/Batch/BatchFixture.h"
#include "UnitTests/Core/Property.h"

#include <rapidcheck.h>

#include <set>

namespace wasabi::batchtest {

namespace {

using test::holds;

std::vector<ItemResult> resultsOf(const BatchState &State, const JobId &Id) {
  std::shared_ptr<JobState> job = findJob(State, Id);
  return job ? job->Results : std::vector<ItemResult>();
}

/// Generates a topic with records of several dispatchers and trainers about a
/// few jobs.
std::vector<BatchRecord> makeRandomTopic() {
  constexpr std::size_t Items = 4;
  std::vector<BatchRecord> topic;
  int records = *rc::gen::inRange(0, 60);
  for (int i = 0; i < records; ++i) {
    BatchJob job = makeJob(std::to_string(*rc::gen::inRange(0, 3)), Items);
    std::size_t index = *rc::gen::inRange<std::size_t>(0, Items);
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
      topic.emplace_back(JobPart{job, 0, 1});
      break;
    case 1:
    case 2:
      topic.emplace_back(
          ResultRecord{job.Id, makeResult(job, index, std::to_string(i))});
      break;
    case 3:
      topic.emplace_back(PartialTextRecord{
          job.Id, job.Items[index].Id, 1, 0, {"t", 1, {1}, false}});
      break;
    default:
      topic.emplace_back(JobEnd{job.Id});
    }
  }
  return topic;
}

BatchState foldRecords(const std::vector<BatchRecord> &Topic,
                       std::size_t Count) {
  BatchState fold;
  for (std::size_t i = 0; i < Count; ++i)
    apply(fold, i, Topic[i], TimePoint());
  return fold;
}

} // namespace

TEST_CASE("A step is complete when its target number of groups is complete",
          "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 6);
  job.TargetGroups = 2;
  apply(fold, 0, JobPart{job, 0, 1}, TimePoint());
  const JobState &state = *findJob(fold, job.Id);
  Offset at = 1;
  for (std::size_t index : {0, 2, 4, 1}) {
    CHECK_FALSE(isStepComplete(state));
    apply(fold, at++, ResultRecord{job.Id, makeResult(job, index, "t")},
          TimePoint());
  }
  CHECK_FALSE(isStepComplete(state));
  apply(fold, at++, ResultRecord{job.Id, makeResult(job, 5, "t")}, TimePoint());
  CHECK(isStepComplete(state));
  // Without a target number all groups have to be complete.
  BatchJob all = makeJob("b", 2);
  apply(fold, at++, JobPart{all, 0, 1}, TimePoint());
  apply(fold, at++, ResultRecord{all.Id, makeResult(all, 0, "t")}, TimePoint());
  CHECK_FALSE(isStepComplete(*findJob(fold, all.Id)));
  apply(fold, at++, ResultRecord{all.Id, makeResult(all, 1, "t")}, TimePoint());
  CHECK(isStepComplete(*findJob(fold, all.Id)));
}

TEST_CASE("Jobs of different customers with the same name are distinct",
          "[batch]") {
  BatchState fold;
  BatchJob anna = makeJob("a", 2);
  BatchJob bert = makeJob("a", 3);
  anna.Id.Customer = CustomerName("anna");
  bert.Id.Customer = CustomerName("bert");
  apply(fold, 0, JobPart{anna, 0, 1}, TimePoint());
  apply(fold, 1, JobPart{bert, 0, 1}, TimePoint());
  apply(fold, 2, ResultRecord{anna.Id, makeResult(anna, 1, "hers")},
        TimePoint());
  apply(fold, 3, JobEnd{bert.Id}, TimePoint());
  REQUIRE(findJob(fold, anna.Id));
  REQUIRE(findJob(fold, bert.Id));
  CHECK(findJob(fold, anna.Id)->Job.Items.size() == 2);
  CHECK(findJob(fold, bert.Id)->Job.Items.size() == 3);
  CHECK_FALSE(findJob(fold, anna.Id)->Ended);
  CHECK(findJob(fold, bert.Id)->Results.empty());
  CHECK_FALSE(findJob(fold, JobId("a")));
}

TEST_CASE("Only the first submission of a job counts", "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 2);
  BatchJob other = makeJob("a", 3);
  CHECK(apply(fold, 0, JobPart{job, 0, 1}, TimePoint()).What ==
        BatchStateChange::Kind::Accepted);
  CHECK(apply(fold, 1, JobPart{other, 0, 1}, TimePoint()).What ==
        BatchStateChange::Kind::Nothing);
  CHECK(findJob(fold, job.Id)->Job == job);
}

TEST_CASE("Only the first result of an item counts", "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 2);
  apply(fold, 0, JobPart{job, 0, 1}, TimePoint());
  apply(fold, 1, ResultRecord{job.Id, makeResult(job, 1, "x")}, TimePoint());
  apply(fold, 2, ResultRecord{job.Id, makeResult(job, 1, "y")}, TimePoint());
  apply(fold, 3, ResultRecord{job.Id, makeResult(job, 0, "z")}, TimePoint());
  std::vector<ItemResult> results = resultsOf(fold, job.Id);
  REQUIRE(results.size() == 2);
  CHECK(results[0].Output == "x");
  CHECK(results[1].Output == "z");
}

TEST_CASE("A result of an item that is not in the job is ignored", "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 1);
  BatchJob other = makeJob("b", 1);
  apply(fold, 0, JobPart{job, 0, 1}, TimePoint());
  apply(fold, 1, ResultRecord{job.Id, makeResult(other, 0, "x")}, TimePoint());
  CHECK(resultsOf(fold, job.Id).empty());
}

TEST_CASE("A submission whose last part is missing is not accepted",
          "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 2);
  BatchJob next = makeJob("b", 1);
  apply(fold, 0, JobPart{job, 0, 2}, TimePoint());
  apply(fold, 1, JobPart{next, 0, 1}, TimePoint());
  apply(fold, 2, JobPart{job, 1, 2}, TimePoint());
  CHECK(findJob(fold, job.Id) == nullptr);
  CHECK(findJob(fold, next.Id) != nullptr);
}

TEST_CASE("Positions of results never change as the topic grows", "[batch]") {
  holds([] {
    std::vector<BatchRecord> topic = makeRandomTopic();
    std::size_t count = *rc::gen::inRange<std::size_t>(0, topic.size() + 1);
    BatchState prefix = foldRecords(topic, count);
    BatchState complete = foldRecords(topic, topic.size());
    // Reading a range twice produces the same state.
    BatchState twice = foldRecords(topic, count);
    for (std::size_t i = 0; i < topic.size(); ++i)
      apply(twice, i, topic[i], TimePoint());
    for (const char *name : {"0", "1", "2"}) {
      JobId id{std::string(name)};
      std::vector<ItemResult> before = resultsOf(prefix, id);
      std::vector<ItemResult> after = resultsOf(complete, id);
      RC_ASSERT(before.size() <= after.size());
      RC_ASSERT(std::equal(before.begin(), before.end(), after.begin()));
      RC_ASSERT(resultsOf(twice, id) == after);
      std::set<std::string> items;
      for (const ItemResult &it : after)
        RC_ASSERT(items.insert(it.Item.Text).second);
    }
  });
}

TEST_CASE("A partial text is continued only by its own dispatcher", "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 1);
  ItemId item = job.Items[0].Id;
  apply(fold, 0, JobPart{job, 0, 1}, TimePoint());
  auto save = [&](Offset At, std::uint64_t Source, std::uint64_t After,
                  const std::string &Text, std::uint64_t Events) {
    PartialText text{Text, Events, {1}, false};
    apply(fold, At, PartialTextRecord{job.Id, item, Source, After, text},
          TimePoint());
    PartialText saved = findJob(fold, job.Id)->Texts.at(0).Text;
    CHECK(saved.Output.empty());
    for (const TextPiece &it : findJob(fold, job.Id)->Texts.at(0).Pieces)
      saved.Output += it.Inline;
    return saved;
  };
  CHECK(save(1, 7, 0, "a", 1).Output == "a");
  CHECK(save(2, 7, 1, "\nb", 2).Output == "a\nb");
  // Events are not joined to those of another dispatcher, nor across a gap.
  CHECK(save(3, 8, 2, "\nX", 3).Output == "a\nb");
  CHECK(save(4, 7, 3, "\nd", 4).Output == "a\nb");
  CHECK(save(5, 8, 0, "x\ny", 2).Output == "x\ny");
  CHECK(save(6, 7, 2, "\nc", 3).Output == "x\ny");
  apply(fold, 7, ResultRecord{job.Id, makeResult(job, 0, "done")}, TimePoint());
  CHECK(findJob(fold, job.Id)->Texts.empty());
}

TEST_CASE("A renewal with an old term does not renew the lease", "[batch]") {
  BatchState fold;
  TimePoint start = TimePoint() + Millis(1000);
  LeaseHolder a{InstanceName("a"), 1};
  LeaseHolder b{InstanceName("b"), 2};
  apply(fold, 0, LeaseClaim{a}, start);
  apply(fold, 1, LeaseClaim{b, 0}, start + Millis(10));
  apply(fold, 2, LeaseRenewal{0, a}, start + Millis(50));
  CHECK(fold.Lease.Holder->Instance.Text == "b");
  CHECK(fold.Lease.Term == 1);
  CHECK(fold.Lease.Seen == start + Millis(10));
  apply(fold, 3, LeaseRelease{0}, start + Millis(60));
  CHECK_FALSE(fold.Lease.Released);
  apply(fold, 4, LeaseRelease{1}, start + Millis(70));
  CHECK(fold.Lease.Released);
}

TEST_CASE("The first of several concurrent claims in the topic is valid",
          "[batch]") {
  BatchState fold;
  TimePoint now = TimePoint() + Millis(1000);
  LeaseHolder a{InstanceName("a"), 1};
  LeaseHolder b{InstanceName("b"), 2};
  LeaseHolder c{InstanceName("c"), 3};
  apply(fold, 0, LeaseClaim{a}, now);
  apply(fold, 1, LeaseClaim{b}, now);
  CHECK(fold.Lease.Holder == a);
  // Records of other kinds in between do not matter.
  apply(fold, 2, JobPart{makeJob("a", 1), 0, 1}, now);
  apply(fold, 3, LeaseClaim{b, 0}, now);
  apply(fold, 4, LeaseClaim{c, 0}, now);
  CHECK(fold.Lease.Holder == b);
  CHECK(fold.Lease.Term == 3);
  // The holder has renewed the lease since the claimant read it.
  apply(fold, 5, LeaseRenewal{3, b}, now);
  apply(fold, 6, LeaseClaim{c, 3}, now);
  CHECK(fold.Lease.Holder == b);
  apply(fold, 7, LeaseRelease{3}, now);
  apply(fold, 8, LeaseClaim{c, 5}, now);
  CHECK(fold.Lease.Released);
  apply(fold, 9, LeaseClaim{c, 7}, now);
  CHECK(fold.Lease.Holder == c);
}

TEST_CASE("A process that starts within the topic learns the lease holder",
          "[batch]") {
  TimePoint now = TimePoint() + Millis(1000);
  LeaseHolder a{InstanceName("a"), 1};
  LeaseHolder b{InstanceName("b"), 2};
  std::vector<BatchRecord> topic{
      LeaseClaim{a},      LeaseClaim{b, 0}, LeaseRenewal{0, a},
      LeaseRenewal{1, b}, LeaseClaim{a, 0}, LeaseRenewal{0, a},
      LeaseRenewal{1, b}, LeaseClaim{a, 3}, LeaseRenewal{1, b}};
  for (std::size_t from = 0; from < topic.size() - 1; ++from) {
    BatchState fold;
    fold.Next = from;
    for (std::size_t i = from; i < topic.size(); ++i)
      apply(fold, i, topic[i], now);
    INFO("from " << from);
    CHECK(fold.Lease.Holder == b);
    CHECK(fold.Lease.Term == 1);
    CHECK(fold.Lease.LastRecordOffset == 8);
  }
}

TEST_CASE("A job is removed after its retention time", "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 1);
  apply(fold, 0, JobPart{job, 0, 1}, TimePoint());
  apply(fold, 1, JobEnd{job.Id}, TimePoint());
  expireJobs(fold, TimePoint() + fold.Limits.JobRetention);
  CHECK(findJob(fold, job.Id) != nullptr);
  expireJobs(fold, TimePoint() + fold.Limits.JobRetention + Millis(1));
  CHECK(findJob(fold, job.Id) == nullptr);
}

// Guards against a job that is forgotten, and denied, while its trainer still
// waits for it.
TEST_CASE("An open job is kept as long as the store keeps its records",
          "[batch]") {
  BatchState fold;
  BatchJob job = makeJob("a", 1);
  apply(fold, 0, JobPart{job, 0, 1}, TimePoint());
  Millis kept = fold.Limits.RecordRetention;
  SECTION("It is removed with its records") {
    expireJobs(fold, TimePoint() + kept);
    CHECK(findJob(fold, job.Id) != nullptr);
    expireJobs(fold, TimePoint() + kept + Millis(1));
    CHECK(findJob(fold, job.Id) == nullptr);
  }
  SECTION("A late end can be repeated") {
    TimePoint end = TimePoint() + kept;
    apply(fold, 1, JobEnd{job.Id}, end);
    expireJobs(fold, end + fold.Limits.JobRetention);
    CHECK(findJob(fold, job.Id) != nullptr);
    expireJobs(fold, end + fold.Limits.JobRetention + Millis(1));
    CHECK(findJob(fold, job.Id) == nullptr);
  }
  SECTION("Records that the store drops early do not shorten the time") {
    fold.Limits.RecordRetention = Millis(1000);
    expireJobs(fold, TimePoint() + fold.Limits.JobRetention);
    CHECK(findJob(fold, job.Id) != nullptr);
  }
}

} // namespace wasabi::batchtest
