// Tests the stand-ins and the test harness: guards against faults of the test
// equipment that would hide faults of the nodes.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "object_api/http_engine_control.h"
#include "object_api/http_object_store.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/harness/cluster.h"
#include "testing/harness/ledgers.h"
#include "testing/harness/wait.h"
#include "testing/support/engine_text.h"

namespace tanagerloom::testing_support {
namespace {

using namespace std::chrono_literals;

class StandinsTest : public testing::Test {
 protected:
  EngineOrder LoadOrder(const std::string& id, std::uint64_t fence) {
    return {id, fence, OrderAction::kLoad,       "m", "1",
            "", 2048,  CheckpointSource::kRemote};
  }

  Call Completion(
      const std::string& engine,
      const std::string& id,
      const nlohmann::json& extra_fields = nlohmann::json::object()) {
    nlohmann::json body{{"model", "m"}, {"prompt", id}, {"max_tokens", 8}};
    body.merge_patch(extra_fields);
    return {cluster_.address(engine),
            {"POST", "/v1/completions", {{"X-Request-Id", id}}, body.dump()}};
  }

  nlohmann::json State(const std::string& engine) {
    return cluster_.Read(cluster_.address(engine), "/control/state");
  }

  bool LoadAndWait(const std::string& engine) {
    const auto answer =
        control_.Send(cluster_.address(engine), LoadOrder("order-1", 1));
    return answer && WaitUntil([&] {
             const auto state = State(engine);
             return state.is_object() && state["entries"].size() == 1 &&
                    state["entries"][0]["state"] == "loaded";
           });
  }

  static ClusterOptions Options() {
    ClusterOptions options;
    options.with_proxy = true;
    options.weight_store_flags = {"--ms-per-gb", "20", "--loads-per-s", "1000"};
    return options;
  }

  Cluster cluster_{Options()};
  SteadyClock clock_;
  HttpClient client_{Runtime::Get().io()};
  HttpObjectStore store_{client_, clock_, cluster_.platform(), 2s};
  HttpEngineControl control_{client_, clock_, 2s};
};

// Guards against a stand-in that accepts both of two conflicting conditional
// updates, which would hide lost decisions.
TEST_F(StandinsTest, OneOfTwoConditionalUpdatesWins) {
  const auto first = store_.Put("cells/a", "1", 0);
  ASSERT_TRUE(first);
  const auto second = store_.Put("cells/a", "2", first.assume_value());
  ASSERT_TRUE(second);
  EXPECT_GT(second.assume_value(), first.assume_value());
  const auto late = store_.Put("cells/a", "3", first.assume_value());
  ASSERT_FALSE(late);
  EXPECT_EQ(late.assume_error().kind, ErrorKind::kConflict);
  EXPECT_EQ(store_.Get("cells/a").value().value, "2");
}

// Guards against a stand-in that loses the response before the write takes
// effect; the read-back after an unknown result would stay untested.
TEST_F(StandinsTest, LostAnswerComesAfterTheWrite) {
  cluster_.Control("platform", {{"lose_next", 1}, {"lose_prefix", "cells/"}});
  ASSERT_TRUE(store_.Put("other", "1", 0));
  const auto lost = store_.Put("cells/a", "1", 0);
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.assume_error().kind, ErrorKind::kUnknown);
  EXPECT_EQ(store_.Get("cells/a").value().value, "1");
}

// A watch that misses a write would delay the configuration in every test.
TEST_F(StandinsTest, WatchReturnsTheNextWrite) {
  const auto first = store_.Put("config/root", "1", 0).value();
  EXPECT_FALSE(store_.Watch("config/root", first, 50ms).value());
  boost::fibers::fiber writer([&] {
    clock_.SleepFor(50ms);
    ASSERT_TRUE(store_.Put("config/root", "2", first));
  });
  const auto seen = store_.Watch("config/root", first, 10s);
  writer.join();
  ASSERT_TRUE(seen);
  ASSERT_TRUE(seen.assume_value());
  EXPECT_EQ(seen.assume_value()->value, "2");
}

// Guards against a platform stand-in that accepts calls during an outage, above
// its rate limit or over its size limit.
TEST_F(StandinsTest, OutageAndRateLimitAreRefusals) {
  cluster_.Control("platform", {{"mode", "down"}});
  EXPECT_EQ(store_.Get("k").assume_error().kind, ErrorKind::kUnavailable);
  cluster_.Control("platform", {{"mode", "up"}, {"writes_per_s", 0}});
  EXPECT_EQ(store_.Put("k", "1", 0).assume_error().kind,
            ErrorKind::kUnavailable);
  cluster_.Control("platform", {{"writes_per_s", 400}});
  const auto big = store_.Put("k", std::string(1024 * 1024 + 1, 'x'), 0);
  EXPECT_EQ(big.assume_error().kind, ErrorKind::kInvalid);
}

// Guards against a VM list without the configured lag, which would hide late
// reactions to leaving VMs.
TEST_F(StandinsTest, VmListLags) {
  const auto vms = [&] {
    return cluster_.Read(cluster_.platform(), "/vms")["vms"].size();
  };
  cluster_.Control("platform", {{"vm_list_lag_ms", 600000}});
  cluster_.SetVm("vm-1", {{"role", "service"}});
  EXPECT_EQ(vms(), 0U);
  cluster_.Control("platform", {{"vm_list_lag_ms", 0}});
  EXPECT_EQ(vms(), 1U);
}

// Guards against loads over the bandwidth limit that are not slowed down, which
// would hide a bad load order.
TEST_F(StandinsTest, WeightStoreSharesItsBandwidth) {
  const Call load{cluster_.weight_store(),
                  {"GET", "/weights/m?mb=10240", {}, ""}};
  for (const auto& it : cluster_.client().SendAll({8, load})) {
    EXPECT_EQ(it.status, 200);
    // 8 loads of 10 GiB at 20 ms/GiB share the bandwidth of 4 loads.
    EXPECT_GE(it.took, 300ms);
  }
  const auto ledger = cluster_.Read(cluster_.weight_store(), "/test/ledger");
  EXPECT_EQ(ledger["loads"]["m"], 8);
}

// Guards against an engine ledger that omits a second load; no test could
// detect one then.
TEST_F(StandinsTest, EngineExecutesAnOrderOnceAndRefusesOldFences) {
  ASSERT_TRUE(cluster_.AddEngine("e1", "pool"));
  const auto address = cluster_.address("e1");
  ASSERT_TRUE(LoadAndWait("e1"));
  const auto repeated = control_.Send(address, LoadOrder("order-1", 1));
  EXPECT_TRUE(std::holds_alternative<OrderAccepted>(repeated.value()));
  const auto outdated = control_.Send(address, LoadOrder("order-2", 1));
  EXPECT_EQ(std::get<OrderRefused>(outdated.value()).reason, "old_fence");
  const auto ledger = cluster_.Ledger("e1");
  EXPECT_EQ(EventsOfKind(ledger, "load_started").size(), 1U);
  EXPECT_EQ(PeakMemoryMb(ledger), 2048U);
  EXPECT_EQ(PeakReplicas(cluster_.EngineLedgers()).at("m@1"), 1);
  EXPECT_EQ(
      cluster_.Read(cluster_.weight_store(), "/test/ledger")["loads"]["m"], 1);
}

// Guards against equal texts for different prompts, which would hide swapped
// responses.
TEST_F(StandinsTest, EngineAnswersDependOnTheRequest) {
  ASSERT_TRUE(cluster_.AddEngine("e1", "pool"));
  ASSERT_TRUE(LoadAndWait("e1"));
  std::vector<Call> calls;
  for (int i = 0; i < 40; ++i) {
    calls.push_back(
        Completion("e1", "r" + std::to_string(i), {{"stream", i % 2 == 0}}));
  }
  const auto answers = cluster_.client().SendAll(calls);
  for (int i = 0; i < 40; ++i) {
    const auto id = "r" + std::to_string(i);
    EXPECT_EQ(answers[i].Text(), EngineText("m", id, 8)) << answers[i].failure;
    EXPECT_EQ(answers[i].headers.Find("X-Request-Id"), id);
  }
  EXPECT_EQ(RunsByRequest(cluster_.Ledger("e1")).size(), 40U);
}

// Guards against a resumed stream that repeats or omits tokens after a
// truncation.
TEST_F(StandinsTest, StreamResumesAfterTruncation) {
  ASSERT_TRUE(cluster_.AddEngine("e1", "pool"));
  ASSERT_TRUE(LoadAndWait("e1"));
  cluster_.Control("e1", {{"cut_streams", 1}});
  const auto truncated =
      cluster_.client().Send(Completion("e1", "r1", {{"stream", true}}));
  EXPECT_EQ(truncated.status, 0);
  const auto rest = cluster_.client().SendJson(
      cluster_.address("e1"), "GET", "/v1/streams/r1?offset=4", nullptr);
  EXPECT_EQ(EngineText("m", "r1", 4) + rest.Text(), EngineText("m", "r1", 8));
}

// Guards against an unload that breaks running requests; tests would report
// these as faults of the nodes.
TEST_F(StandinsTest, UnloadWaitsForRunningRequestsAndRefusesNewOnes) {
  ASSERT_TRUE(cluster_.AddEngine("e1", "pool", {"--tokens-per-s", "20"}));
  ASSERT_TRUE(LoadAndWait("e1"));
  CallResult running;
  boost::fibers::fiber request(
      [&] { running = cluster_.client().Send(Completion("e1", "r1")); });
  EXPECT_TRUE(WaitUntil([&] {
    return EventsOfKind(cluster_.Ledger("e1"), "request").size() == 1;
  }));
  auto unload = LoadOrder("order-2", 2);
  unload.action = OrderAction::kUnload;
  EXPECT_TRUE(control_.Send(cluster_.address("e1"), unload));
  const auto refused = cluster_.client().Send(Completion("e1", "r2"));
  EXPECT_EQ(refused.status, 503);
  EXPECT_EQ(refused.headers.Find("X-Not-Run"), "true");
  request.join();
  EXPECT_EQ(running.Text(), EngineText("m", "r1", 8));
  EXPECT_TRUE(WaitUntil([&] {
    return EventsOfKind(cluster_.Ledger("e1"), "released").size() == 1;
  }));
}

// Guards against a crash, of the process or simulated, whose request is missing
// from the ledger.
TEST_F(StandinsTest, CrashingPromptEndsTheEngine) {
  ASSERT_TRUE(cluster_.AddEngine("e1", "pool"));
  ASSERT_TRUE(cluster_.AddEngine("e2", "pool",
                                 {"--crash", "simulate", "--crash-ms", "200"}));
  for (const std::string id : {"e1", "e2"}) {
    ASSERT_TRUE(LoadAndWait(id));
    const auto boot = State(id)["boot"];
    const auto answer = cluster_.client().Send(
        Completion(id, "r1", {{"prompt", "CRASH_ENGINE"}}));
    EXPECT_EQ(answer.status, 0);
    EXPECT_EQ(EventsOfKind(cluster_.Ledger(id), "request").size(), 1U);
    if (id == "e1") {
      EXPECT_EQ(cluster_.process(id).WaitForExit(10s), 134);
      ASSERT_TRUE(cluster_.Restart(id));
    }
    ASSERT_TRUE(WaitUntil([&] {
      const auto state = State(id);
      return state.is_object() && state["boot"] != boot &&
             state["entries"].empty();
    }));
  }
}

// Guards against a service ledger that omits a run whose response was lost.
TEST_F(StandinsTest, ServiceLedgerShowsRunsWhoseAnswerIsLost) {
  ASSERT_TRUE(cluster_.AddService("s1", "desk"));
  cluster_.Control("s1", {{"lose_answers", 1}});
  const Call call{cluster_.address("s1"),
                  {"POST",
                   "/refill",
                   {{"X-Request-Id", "r1"}, {"Idempotency-Key", "k1"}},
                   "fern"}};
  EXPECT_EQ(cluster_.client().Send(call).status, 0);
  const auto answer = cluster_.client().Send(call);
  EXPECT_EQ(answer.Json()["body"], "fern");
  EXPECT_EQ(RunsByRequest(cluster_.Ledger("s1")).at("r1"), 2);
  EXPECT_EQ(EventsOfKind(cluster_.Ledger("s1"), "run")[0]["idempotency_key"],
            "k1");
}

// Guards against a proxy that does not inject the requested fault, or one that
// lets a truncated request run.
TEST_F(StandinsTest, ProxyInjectsFaults) {
  ASSERT_TRUE(cluster_.AddService("s1", "desk"));
  const auto vms = cluster_.Read(cluster_.platform(), "/vms")["vms"];
  ASSERT_EQ(vms.size(), 1U);
  const Address proxied{"127.0.0.1", vms[0]["port"]};
  ASSERT_NE(proxied, cluster_.address("s1"));
  const Call call{proxied, {"POST", "/x", {{"X-Request-Id", "r"}}, "b"}, 500ms};
  EXPECT_EQ(cluster_.client().Send(call).status, 200);
  // The response is lost, but the request ran.
  cluster_.SetLinkFaults("s1", {{"lose_answers", 1}});
  EXPECT_EQ(cluster_.client().Send(call).status, 0);
  EXPECT_EQ(RunsByRequest(cluster_.Ledger("s1")).at("r"), 2);
  // The request is truncated, so it never runs.
  cluster_.SetLinkFaults("s1", {{"cut_to_target_bytes", 20}});
  EXPECT_EQ(cluster_.client().Send(call).status, 0);
  cluster_.SetLinkFaults("s1",
                         {{"cut_to_target_bytes", -1}, {"silent_new", "both"}});
  const auto silent = cluster_.client().Send(call);
  EXPECT_EQ(silent.status, 0);
  EXPECT_EQ(silent.verdict, Verdict::kMayHaveRun);
  EXPECT_EQ(RunsByRequest(cluster_.Ledger("s1")).at("r"), 2);
  cluster_.SetLinkFaults("s1", {{"silent_new", ""}, {"refuse", true}});
  EXPECT_EQ(cluster_.client().Send(call).verdict, Verdict::kNotRun);
  cluster_.SetLinkFaults("s1",
                         {{"refuse", false}, {"delay_to_client_ms", 100}});
  const auto slow = cluster_.client().Send(call);
  EXPECT_EQ(slow.status, 200);
  EXPECT_GE(slow.took, 100ms);
}

}  // namespace
}  // namespace tanagerloom::testing_support
