// Suspends a node process while it relays streams. Guards against streams that
// end as complete although pieces of them are missing, come twice or are
// spoilt.
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
#include "tests/support/fault_relay.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::NodeProcess;
using testing_support::TestFolder;
using testing_support::WaitUntil;

constexpr int kStreams = 100;
// Few of the streams may go on at the other endpoint; the others are read on.
constexpr int kRetrySlack = 2;
constexpr int kPieces = 40;
constexpr milliseconds kPieceInterval{100};
constexpr milliseconds kStartInterval{10};
// Longer than the timeout of a silent endpoint, which is three gaps.
constexpr milliseconds kGapTarget{400};
constexpr milliseconds kSuspension{2500};

nlohmann::json ConfigJson() {
  return {{"version", 1},
          {"routes",
           {{{"name", "notes"},
             {"host", "h.example"},
             {"pathPrefix", "/stream/"},
             {"kind", "streaming"},
             {"timeoutMs", 20000},
             {"goalMs", 3000},
             {"gapTargetMs", kGapTarget.count()},
             {"service", "notes"},
             {"maxAttempts", 2},
             {"resumable", true}}}},
          {"services", {{{"name", "notes"}}}}};
}

// Sends a stream from the event after the last one that the client has.
void SendStream(const HttpRequest& request, HttpResponder& responder) {
  const auto last = request.headers.Find("Last-Event-Id");
  const int first = last ? std::stoi(std::string(*last)) + 1 : 1;
  bool open =
      responder.StartStream(200, EndpointStandin::SealedHeaders(request))
          .has_value();
  for (int n = first; open && n <= kPieces; ++n) {
    boost::this_fiber::sleep_for(kPieceInterval);
    open = responder.Write(EndpointStandin::StreamEvent(n)).has_value();
  }
  if (open) {
    (void)responder.Finish();
  }
}

TEST(SuspendedNode, StreamsThatEndAsCompleteAreWhole) {
  // Leaked, since the fibers of their servers run until the process ends.
  auto& store = *new StoreStandin();
  store.Set("config", "main", ConfigJson());
  for (const char* id : {"i-0", "i-1"}) {
    auto& endpoint = *new EndpointStandin(store, id, "notes");
    endpoint.serve = &SendStream;
    // The node reads parts of chunks, so that what it keeps of them counts.
    auto& relay = *new FaultRelay(endpoint.address().port);
    relay.SetSplitDelay(kPieceInterval / 2);
    endpoint.advertised_port = relay.port();
    endpoint.Register();
  }
  TestFolder folder;
  NodeProcess node(folder.path(), "node-0", store.address(), kRetrySlack);
  ASSERT_TRUE(WaitUntil([&] { return node.IsReady(); }));

  SteadyClock clock;
  HttpClient client(Runtime::Get().io());
  std::string expected;
  for (int n = 1; n <= kPieces; ++n) {
    expected += EndpointStandin::StreamEvent(n);
  }
  int complete = 0;
  std::vector<boost::fibers::fiber> clients;
  for (int i = 0; i < kStreams; ++i) {
    clients.emplace_back([&, i] {
      HttpRequest request{"POST", "/stream/x", {}, "prompt"};
      request.headers = {{"Host", "h.example"},
                         {"Attempt-Id", "a-" + std::to_string(i)},
                         {"Deadline-Ms", "18000"}};
      const auto response = client.Call(
          node.front(), request,
          {.deadline = clock.Now() + seconds(18), .fresh_connection = true});
      if (response && response.assume_value().status == 200) {
        ++complete;
        EXPECT_EQ(response.assume_value().body, expected) << "stream " << i;
      }
    });
    boost::this_fiber::sleep_for(kStartInterval);
  }
  boost::this_fiber::sleep_for(seconds(1));
  node.process().Signal(SIGSTOP);
  boost::this_fiber::sleep_for(kSuspension);
  node.process().Signal(SIGCONT);
  for (auto& it : clients) {
    it.join();
  }
  // The suspension is shorter than clients wait, so that few may be lost.
  EXPECT_GT(complete, kStreams / 2);
}

}  // namespace
}  // namespace tanagerloom
