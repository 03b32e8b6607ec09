// Stops a node process as planned while clients send requests to it. Guards
// against requests that were accepted and get no answer.
#include <gtest/gtest.h>
#include <signal.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "http/http_client.h"
#include "http/http_responder.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/fleet_standin/endpoint_standin.h"
#include "testing/fleet_standin/store_standin.h"
#include "testing/harness/node_process.h"
#include "testing/harness/process.h"
#include "testing/harness/wait.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::NodeProcess;
using testing_support::TestFolder;
using testing_support::WaitUntil;

nlohmann::json ConfigJson() {
  return {{"version", 1},
          {"routes",
           {{{"name", "book"},
             {"host", "h.example"},
             {"pathPrefix", "/book/"},
             {"kind", "non_idempotent"},
             {"timeoutMs", 20000},
             {"goalMs", 1000},
             {"service", "desk"},
             {"maxAttempts", 1}}}},
          {"services", {{{"name", "desk"}}}}};
}

class PlannedStop : public testing::Test {
 protected:
  // What a client got; status 0 if there was no answer.
  struct Outcome {
    std::string attempt;
    int status = 0;
    bool closes = false;  ///< Whether the answer announced the close.
  };

  void SetUp() override {
    store.Set("config", "main", ConfigJson());
    endpoint.serve = [this](const HttpRequest& request,
                            HttpResponder& responder) {
      boost::this_fiber::sleep_for(work_time);
      (void)responder.Send(
          {200, EndpointStandin::SealedHeaders(request), "done"});
    };
    endpoint.Register();
    ASSERT_TRUE(WaitUntil([&] { return node.IsReady(); }));
  }

  // Sends bookings at the same time, without waiting for their answers.
  void Book(int count) {
    for (int i = 0; i < count; ++i) {
      auto& outcome = outcomes.emplace_back(std::make_unique<Outcome>());
      outcome->attempt = "a-" + std::to_string(outcomes.size());
      clients.emplace_back([this, &it = *outcome] {
        HttpRequest request{"POST", "/book/x", {}, "booking"};
        request.headers = {{"Host", "h.example"},
                           {"Attempt-Id", it.attempt},
                           {"Deadline-Ms", "18000"}};
        const auto answer = client.Call(
            node.front(), request,
            {.deadline = clock.Now() + seconds(18), .fresh_connection = true});
        if (answer) {
          const auto& response = answer.assume_value();
          it.status = response.status;
          it.closes = response.headers.Find("Connection") == "close";
        }
      });
    }
  }

  void AwaitOutcomes() {
    for (auto& it : clients) {
      it.join();
    }
  }

  bool WasRun(const std::string& attempt) const {
    return std::ranges::count(endpoint.runs(), attempt) > 0;
  }

  SteadyClock clock;
  HttpClient client{Runtime::Get().io()};
  TestFolder folder;
  // Leaked, since the fibers of their servers run until the process ends.
  StoreStandin& store = *new StoreStandin();
  EndpointStandin& endpoint = *new EndpointStandin(store, "i-0", "desk");
  milliseconds work_time{1000};
  NodeProcess node{folder.path(), "node-0", store.address()};
  std::vector<std::unique_ptr<Outcome>> outcomes;
  std::vector<boost::fibers::fiber> clients;
};

// Guards against bookings that are cut without an answer at the end of the
// grace time, and against an answer that wrongly promises that they did not
// run.
TEST_F(PlannedStop, RequestsInFlightAtTheEndOfTheGraceGetAnAnswer) {
  work_time = testing_support::kNodeGrace * 2;
  Book(5);
  boost::this_fiber::sleep_for(milliseconds(300));
  node.process().Signal(SIGTERM);
  boost::this_fiber::sleep_for(milliseconds(1500));
  Book(5);
  EXPECT_EQ(node.process().WaitForExit(testing_support::kNodeGrace), 0);
  AwaitOutcomes();
  for (const auto& it : outcomes) {
    EXPECT_TRUE(it->status == 504 ||
                (it->status == 503 && !WasRun(it->attempt)))
        << it->attempt << ": " << it->status;
  }
}

// Guards against a client that sends its next request on a connection that is
// about to close, because an answer that was awaited as the stop began did not
// announce it.
TEST_F(PlannedStop, AnswerThatWasAwaitedAtTheStopAnnouncesTheClose) {
  Book(3);
  boost::this_fiber::sleep_for(milliseconds(300));
  node.process().Signal(SIGTERM);
  AwaitOutcomes();
  for (const auto& it : outcomes) {
    EXPECT_EQ(it->status, 200);
    EXPECT_TRUE(it->closes) << it->attempt;
  }
  EXPECT_EQ(node.process().WaitForExit(testing_support::kNodeGrace), 0);
}

}  // namespace
}  // namespace tanagerloom
