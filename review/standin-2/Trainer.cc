#include "Trainer.hh"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

#include <stdexcept>
#include <thread>

namespace review {

void require(bool Condition, const std::string &What) {
  if (!Condition)
    throw std::runtime_error(What);
}

std::string describe(const CallResult &Got) {
  return Got.Status == 0 ? Got.Error : std::to_string(Got.Status);
}

JobSettings makeJob(const std::string &Id, const std::string &Model,
                    const std::string &Prefix, const std::string &ScorePrefix,
                    unsigned Count) {
  JobSettings job;
  job.Id = Id;
  job.Model = Model;
  job.Prefix = Prefix;
  job.ScorePrefix = ScorePrefix;
  job.TargetGroups = (Count + job.GroupSize - 1) / job.GroupSize;
  for (unsigned i = 0; i < Count; ++i)
    job.Items.push_back(Id + "-" + std::to_string(i));
  return job;
}

CallResult submit(World &Users, const Edge &At, const JobSettings &Job) {
  CallResult got = submitJob(At, Job);
  Users.Log.line("trainer: submits job " + Job.Id + " of " +
                 std::to_string(Job.Items.size()) + " items at " + At.Name +
                 ": " + describe(got));
  return got;
}

std::map<std::string, std::string> readResults(World &Users, const Edge &At,
                                               const JobSettings &Job,
                                               Millis Timeout) {
  constexpr unsigned Ok = 200;
  constexpr Millis ReadInterval{500};
  std::map<std::string, std::string> states;
  unsigned after = 0;
  Clock::time_point until = Clock::now() + Timeout;
  while (after < Job.Items.size() && Clock::now() < until) {
    Clock::time_point next = Clock::now() + ReadInterval;
    CallResult got = readJob(At, Job.Id, after, Millis(1000));
    if (got.Status == Ok && got.Complete) {
      json::value page = json::parse(got.Response.Body);
      after = page.at("next").to_number<unsigned>();
      for (const json::value &it : page.at("results").as_array())
        states[json::value_to<std::string>(it.at("id"))] =
            json::value_to<std::string>(it.at("state"));
    }
    std::this_thread::sleep_until(next);
  }
  std::size_t completed = 0;
  for (const auto &[item, state] : states)
    completed += state == "completed" ? 1 : 0;
  Users.Log.line("trainer: job " + Job.Id + " at " + At.Name + " has " +
                 std::to_string(states.size()) + " results, " +
                 std::to_string(completed) + " of them completed");
  return states;
}

bool waitUntil(const std::function<bool()> &Condition, Millis Timeout) {
  Clock::time_point until = Clock::now() + Timeout;
  while (!Condition()) {
    if (Clock::now() >= until)
      return false;
    std::this_thread::sleep_for(Millis(2));
  }
  return true;
}

} // namespace review
