#include "Wasabi/Node/ControlPlane.h"
#include "UnitTests/Node/FakePlatform.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace wasabi {
namespace {

constexpr std::chrono::seconds Deadline(20);
constexpr std::chrono::milliseconds PollInterval(5);

/// Waits until a condition holds. Returns false after the deadline.
template <typename Condition> bool eventually(Condition &&Holds) {
  std::chrono::steady_clock::time_point until =
      std::chrono::steady_clock::now() + Deadline;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > until)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

/// The control plane of one process and its time line.
struct Node {
  std::unique_ptr<Timeline> Events;
  std::unique_ptr<ControlPlane> Plane;
  std::atomic<int> Orders{0};
};

class Cluster {
public:
  FakePlatform Platform;
  std::vector<std::unique_ptr<Node>> Nodes;

  ControlPlane::Settings settings(std::size_t Index) {
    ControlPlane::Settings setup;
    setup.Instance = InstanceName("node-" + std::to_string(Index));
    setup.Domain = DomainName(Index % 2 == 0 ? "lulea-hall" : "umea-hall");
    setup.Log = Platform.address();
    setup.Instances = Platform.address();
    setup.PeerProbeInterval = Millis(100);
    setup.ProbeTimeout = Millis(300);
    setup.ClaimTerm = Millis(1000);
    setup.ClaimSettleDelay = Millis(200);
    setup.MinListReadInterval = Millis(100);
    setup.ListBytesPerSecond = 1000000;
    setup.ReadersPerDomain = 1;
    setup.Seed = 100 + Index;
    return setup;
  }

  Node &add(ControlPlane::Settings Setup) {
    std::unique_ptr<Node> node = std::make_unique<Node>();
    Timeline::Settings limits;
    node->Events = std::make_unique<Timeline>(Setup.Instance.Text, limits);
    Node *raw = node.get();
    ControlPlane::OrderHandler handle =
        [raw](const Order &What,
              const std::function<void(Outcome<OrderAnswer>)> &Answer) {
          raw->Orders.fetch_add(1);
          Answer(OrderAnswer{What.Version});
        };
    Outcome<std::unique_ptr<ControlPlane>> made =
        toOutcome<std::unique_ptr<ControlPlane>>([&]() {
          return ControlPlane::create(Setup, *node->Events, handle);
        });
    REQUIRE(made);
    node->Plane = std::move(*made);
    Nodes.push_back(std::move(node));
    return *Nodes.back();
  }

  void start(std::size_t Count) {
    for (std::size_t n = 0; n < Count; ++n)
      add(settings(n));
    REQUIRE(eventually([&]() { return allSeeAlive(Count); }));
  }

  /// Returns true if all nodes are ready and each sees `Count` members alive.
  bool allSeeAlive(std::size_t Count) const {
    for (const std::unique_ptr<Node> &it : Nodes) {
      if (!it->Plane->ready() || countAlive(*it->Plane) != Count)
        return false;
    }
    return true;
  }

  static std::size_t countAlive(const ControlPlane &Plane) {
    std::size_t count = 0;
    for (const auto &[name, member] : Plane.view()->Members)
      count += member.State == Health::Alive ? 1 : 0;
    return count;
  }

  /// Returns the node that holds a claim; null for none.
  Node *holder(const std::string &Resource) const {
    for (const std::unique_ptr<Node> &it : Nodes) {
      if (it->Plane->held(Resource))
        return it.get();
    }
    return nullptr;
  }

  void stopNode(const Node *Which) {
    std::erase_if(Nodes, [&](const auto &it) { return it.get() == Which; });
  }
};

ConfigChange limitChange(Offset Base, const std::string &Caller) {
  ConfigChange change;
  change.Base = Base;
  change.Operator = "test";
  change.Message = "a limit";
  std::string text = R"({"burst":5,"kind":"limit","name":")" + Caller +
                     R"(","requests_per_second":5})";
  change.Writes.push_back(ObjectWrite{"limit/" + Caller, text});
  return change;
}

Outcome<ControlStateChange> appendAndWait(ControlPlane &Plane,
                                          RecordBody Body) {
  std::shared_ptr<std::promise<Outcome<ControlStateChange>>> promise =
      std::make_shared<std::promise<Outcome<ControlStateChange>>>();
  std::future<Outcome<ControlStateChange>> done = promise->get_future();
  Plane.append(std::move(Body),
               [promise](const Outcome<ControlStateChange> &Value) {
                 promise->set_value(Value);
               });
  REQUIRE(done.wait_for(Deadline) == std::future_status::ready);
  return done.get();
}

bool inForce(const ControlPlane &Plane, const std::string &Caller) {
  return Plane.state()->Objects.contains("limit/" + Caller);
}

} // namespace

TEST_CASE("An accepted change is in force on every process",
          "[node][control]") {
  Cluster cluster;
  cluster.start(6);
  ControlPlane &author = *cluster.Nodes.front()->Plane;
  Outcome<ControlStateChange> result =
      appendAndWait(author, limitChange(author.state()->Next, "crew"));
  REQUIRE(result);
  CHECK(result->ApplyStatus == RecordStatus::Accepted);
  CHECK(eventually([&]() {
    return std::all_of(
        cluster.Nodes.begin(), cluster.Nodes.end(),
        [](const auto &it) { return inForce(*it->Plane, "crew"); });
  }));
}

TEST_CASE(
    "A record whose answer is lost is confirmed by reading and applied once",
    "[node][control]") {
  Cluster cluster;
  cluster.start(1);
  ControlPlane &author = *cluster.Nodes.front()->Plane;
  cluster.Platform.AppendAnswersToLose = 2;
  Outcome<ControlStateChange> result =
      appendAndWait(author, limitChange(author.state()->Next, "planner"));
  REQUIRE(result);
  CHECK(result->ApplyStatus == RecordStatus::Accepted);
  CHECK(inForce(author, "planner"));
}

TEST_CASE("A claim has one holder and moves to another after its holder stops",
          "[node][claims]") {
  Cluster cluster;
  cluster.start(4);
  for (const std::unique_ptr<Node> &it : cluster.Nodes)
    it->Plane->requestClaim("trainer/drafts");
  REQUIRE(eventually([&]() { return cluster.holder("trainer/drafts"); }));
  Node *first = cluster.holder("trainer/drafts");
  FencingToken token = first->Plane->held("trainer/drafts")->Token;
  for (const std::unique_ptr<Node> &it : cluster.Nodes)
    CHECK((it.get() == first) == it->Plane->held("trainer/drafts").has_value());

  cluster.stopNode(first);
  REQUIRE(eventually([&]() { return cluster.holder("trainer/drafts"); }));
  CHECK(cluster.holder("trainer/drafts")->Plane->held("trainer/drafts")->Token >
        token);
}

TEST_CASE(
    "All members learn of a leaving process while the platform's list lags",
    "[node][membership]") {
  Cluster cluster;
  cluster.start(5);
  cluster.Platform.ListFrozen = true;
  std::shared_ptr<std::promise<void>> left =
      std::make_shared<std::promise<void>>();
  std::future<void> done = left->get_future();
  Node &leaver = *cluster.Nodes.front();
  leaver.Plane->leave([left]() { left->set_value(); });
  REQUIRE(done.wait_for(Deadline) == std::future_status::ready);
  InstanceName name("node-0");
  CHECK(eventually([&]() {
    return std::all_of(
        cluster.Nodes.begin(), cluster.Nodes.end(), [&](const auto &it) {
          return it->Plane->view()->Members.at(name).State == Health::Leaving;
        });
  }));
}

TEST_CASE("Claims expire and do not move while the log is unreachable",
          "[node][claims]") {
  Cluster cluster;
  cluster.start(3);
  for (const std::unique_ptr<Node> &it : cluster.Nodes)
    it->Plane->requestClaim("weights/drafts");
  REQUIRE(eventually([&]() { return cluster.holder("weights/drafts"); }));
  Node *owner = cluster.holder("weights/drafts");
  FencingToken token = owner->Plane->held("weights/drafts")->Token;
  cluster.Platform.Outage = true;
  CHECK(eventually([&]() { return !cluster.holder("weights/drafts"); }));
  // The owner keeps its token for targets that check tokens.
  CHECK(owner->Plane->tokenDespiteOutage("weights/drafts") == token);
  for (const std::unique_ptr<Node> &it : cluster.Nodes) {
    if (it.get() != owner)
      CHECK(!it->Plane->tokenDespiteOutage("weights/drafts"));
  }
  cluster.Platform.Outage = false;
  CHECK(eventually([&]() { return cluster.holder("weights/drafts"); }));
}

TEST_CASE("A process starts from a peer's state while the log is unreachable",
          "[node][control]") {
  Cluster cluster;
  cluster.start(2);
  ControlPlane &author = *cluster.Nodes.front()->Plane;
  REQUIRE(appendAndWait(author, limitChange(author.state()->Next, "buyer")));
  cluster.Platform.Outage = true;
  ControlPlane::Settings setup = cluster.settings(2);
  setup.Seeds.push_back(author.address());
  Node &late = cluster.add(setup);
  CHECK(eventually([&]() { return late.Plane->ready(); }));
  CHECK(inForce(*late.Plane, "buyer"));
}

TEST_CASE("A log that serves an older tail does not revert the state",
          "[node][control]") {
  Cluster cluster;
  cluster.start(1);
  ControlPlane &plane = *cluster.Nodes.front()->Plane;
  REQUIRE(appendAndWait(plane, limitChange(plane.state()->Next, "one")));
  cluster.Platform.HideNewest = 1000;
  REQUIRE(eventually([&]() {
    for (const TimelineEvent &it : cluster.Nodes.front()->Events->since(0)) {
      if (it.Kind == "log.stale_tail")
        return true;
    }
    return false;
  }));
  CHECK(inForce(plane, "one"));
  cluster.Platform.HideNewest = 0;
  REQUIRE(appendAndWait(plane, limitChange(plane.state()->Next, "two")));
  CHECK(inForce(plane, "two"));
}

TEST_CASE("A process starts from a snapshot after older records have expired",
          "[node][snapshot]") {
  Cluster cluster;
  cluster.start(1);
  Node &first = *cluster.Nodes.front();
  constexpr int Changes = 30;
  for (int n = 0; n < Changes; ++n) {
    std::string name = "caller-" + std::to_string(n);
    REQUIRE(appendAndWait(*first.Plane,
                          limitChange(first.Plane->state()->Next, name)));
  }
  // The oldest records expire, and the claim's holder writes a snapshot.
  cluster.Platform.retainNewest(20);
  REQUIRE(
      eventually([&]() { return first.Plane->state()->SnapshotRevision > 0; }));
  cluster.stopNode(&first);
  REQUIRE(cluster.Platform.first() > 0);

  ControlPlane::Settings setup = cluster.settings(1);
  setup.Instances = Address();
  Node &late = cluster.add(setup);
  REQUIRE(eventually([&]() { return late.Plane->ready(); }));
  for (int n = 0; n < Changes; ++n)
    CHECK(inForce(*late.Plane, "caller-" + std::to_string(n)));
}

TEST_CASE("A leaving process releases its claims to a successor immediately",
          "[node][claims]") {
  Cluster cluster;
  // The term outlasts the test, so only a release can free the claim.
  for (std::size_t n = 0; n < 2; ++n) {
    ControlPlane::Settings setup = cluster.settings(n);
    setup.ClaimTerm = Millis(600000);
    cluster.add(setup);
  }
  REQUIRE(eventually([&]() { return cluster.allSeeAlive(2); }));
  for (const std::unique_ptr<Node> &it : cluster.Nodes)
    it->Plane->requestClaim("trainer/notes");
  REQUIRE(eventually([&]() { return cluster.holder("trainer/notes"); }));
  Node *first = cluster.holder("trainer/notes");
  first->Plane->leave([]() {});
  CHECK(eventually([&]() {
    Node *next = cluster.holder("trainer/notes");
    return next != nullptr && next != first;
  }));
}

TEST_CASE("The status shows members, claims and counters", "[node][control]") {
  Cluster cluster;
  cluster.start(2);
  ControlPlane &plane = *cluster.Nodes.front()->Plane;
  plane.setServers({ServerStatus{ServerName("lease-desk-1"),
                                 ServiceName("lease-desk"), 0, 4, true}});
  REQUIRE(eventually([&]() {
    return plane.statusJson().find("lease-desk-1") != std::string::npos;
  }));
  std::string status = plane.statusJson();
  for (const char *it :
       {"\"next\":", "\"config_revision\":", "\"members\":", "\"claims\":",
        "\"log\":{\"reachable\":true", "\"self_doubt\":false",
        "\"control_bytes_in\":", "\"control_bytes_out\":", "\"frames_in\":",
        "\"log_reads\":", "\"log_appends\":"})
    CHECK(status.find(it) != std::string::npos);
}

TEST_CASE("An order reaches its daemon and its answer is returned",
          "[node][control]") {
  Cluster cluster;
  cluster.start(2);
  Order order{ServerName("s"), "weights/m", 7, ModelName("m"), 3};
  std::shared_ptr<std::promise<Outcome<OrderAnswer>>> promise =
      std::make_shared<std::promise<Outcome<OrderAnswer>>>();
  std::future<Outcome<OrderAnswer>> done = promise->get_future();
  cluster.Nodes[0]->Plane->order(InstanceName("node-1"), order, Millis(5000),
                                 [promise](const Outcome<OrderAnswer> &Value) {
                                   promise->set_value(Value);
                                 });
  REQUIRE(done.wait_for(Deadline) == std::future_status::ready);
  Outcome<OrderAnswer> result = done.get();
  REQUIRE(result);
  CHECK(result->Version == 3);
  CHECK(cluster.Nodes[1]->Orders.load() == 1);
}

} // namespace wasabi
