// Tests of requests that crash the endpoint that runs them, with stand-ins for
// the object store and the endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "base/events.h"
#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using testing_support::WaitUntil;

class CrashingRequest : public testing::Test {
 protected:
  void SetUp() override { site.Start(); }

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against a request that crashes one endpoint after another.
TEST_F(CrashingRequest, RequestThatCrashedEndpointsIsRefused) {
  const auto request = site.Request("/read/crash");
  for (std::uint32_t i = 0; i < CrashSuspects::kCrashLimit; ++i) {
    site.crashes.OnCrash({"id-1", "i-a", FingerprintsOf(request, {}), false});
  }
  EXPECT_EQ(site.Send(request).assume_value().status, 503);
  EXPECT_EQ(site.Runs(), 0U);
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
}

// Returns how many times an endpoint crashes under one request that a client
// sends again and again.
int CrashesUnder(ForwardingSite& site, const HttpRequest& request) {
  constexpr int kRequests = 8;
  int crashes = 0;
  site.SetServe([&](const HttpRequest&, HttpResponder& responder) {
    ++crashes;
    site.a.Crash();
    site.b.Crash();
    responder.Abort();
  });
  for (int i = 0; i < kRequests; ++i) {
    (void)site.Send(request);
    // The crash is counted once the endpoint is found to be unreachable.
    boost::this_fiber::sleep_for(milliseconds(50));
    site.a.Recover();
    site.b.Recover();
  }
  return crashes;
}

// Guards against lookups, which have no body, that crash endpoints without end.
TEST_F(CrashingRequest, LookupThatCrashesEndpointsIsRefused) {
  auto request = site.Request("/read/crash");
  request.method = "GET";
  request.body.clear();
  EXPECT_EQ(CrashesUnder(site, request), 3);
  site.SetServe([](const HttpRequest& it, HttpResponder& responder) {
    (void)responder.Send({200, EndpointStandin::SealedHeaders(it), "done"});
  });
  request.target = "/read/sound";
  EXPECT_EQ(site.Send(request).assume_value().status, 200);
}

// Guards against a request that crashes endpoints without end, since its client
// leaves before each crash.
TEST_F(CrashingRequest, RequestWhoseClientLeavesBeforeTheCrashIsRefused) {
  constexpr int kRequests = 8;
  int crashes = 0;
  site.SetServe([&](const HttpRequest&, HttpResponder& responder) {
    EXPECT_TRUE(WaitUntil([&] { return responder.client_gone(); }));
    ++crashes;
    site.a.Crash();
    site.b.Crash();
  });
  const auto counted = [&] {
    return std::ranges::count_if(site.log.Since(0), [](const auto& it) {
      return it.id.name == events::kRequestCrashedEndpoint.name;
    });
  };
  for (int i = 1; i <= kRequests; ++i) {
    const auto answer =
        site.client.Call(site.address, site.Request("/book/crash"),
                         {.deadline = site.clock.Now() + milliseconds(300),
                          .fresh_connection = true});
    if (answer) {
      EXPECT_EQ(answer.assume_value().status, 503);
      break;
    }
    ASSERT_TRUE(WaitUntil([&] { return crashes == i; }));
    // The first such run is not looked at.
    ASSERT_TRUE(WaitUntil([&] { return counted() == i - 1; }));
    site.a.Recover();
    site.b.Recover();
  }
  EXPECT_EQ(crashes, 4);
}

// Guards against probes of endpoints, and counts, after requests whose clients
// leave and which don't come again.
TEST_F(CrashingRequest, SingleRequestWhoseClientLeavesIsNotCounted) {
  const auto request = site.Request("/book/x");
  EXPECT_FALSE(site.crashes.OnAbandonedRun(FingerprintsOf(request, {})));
  EXPECT_FALSE(site.crashes.OnAbandonedRun(
      FingerprintsOf(site.Request("/book/other"), {})));
  EXPECT_TRUE(site.crashes.OnAbandonedRun(FingerprintsOf(request, {})));
}

// Guards against a retry that crashes one more endpoint, though the attempt
// before it reached the limit.
TEST_F(CrashingRequest, RequestIsNotRetriedOnceItIsQuarantined) {
  const auto request = site.Request("/read/crash");
  for (std::uint32_t i = 1; i < CrashSuspects::kCrashLimit; ++i) {
    site.crashes.OnCrash({"id-1", "i-a", FingerprintsOf(request, {}), false});
  }
  site.a.serve = [&](const HttpRequest&, HttpResponder& responder) {
    site.a.Crash();
    responder.Abort();
  };
  site.b.serve = [&](const HttpRequest&, HttpResponder& responder) {
    site.b.Crash();
    responder.Abort();
  };
  EXPECT_EQ(site.Send(request).assume_value().status, 502);
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against a request that waits for an endpoint and is sent although it
// was quarantined meanwhile.
TEST_F(CrashingRequest, WaitingRequestIsRefusedOnceItIsQuarantined) {
  site.a.draining = true;
  site.b.draining = true;
  site.a.Register();
  site.b.Register();
  ASSERT_TRUE(WaitUntil([&] {
    const auto& records = site.view.directory().records();
    return std::ranges::all_of(
        records, [](const auto& it) { return it.second.draining; });
  }));
  const auto request = site.Request("/read/crash");
  boost::fibers::fiber([&] {
    boost::this_fiber::sleep_for(milliseconds(100));
    for (std::uint32_t i = 0; i < CrashSuspects::kCrashLimit; ++i) {
      site.crashes.OnCrash({"id-1", "i-a", FingerprintsOf(request, {}), false});
    }
  }).detach();
  const auto sent_at = site.clock.Now();
  EXPECT_EQ(site.Send(request).assume_value().status, 503);
  EXPECT_LT(site.clock.Now() - sent_at, milliseconds(500));
}

// Guards against refusing a request that only ran beside others when endpoints
// crashed.
TEST_F(CrashingRequest, RequestThatRanWithoutACrashIsNotRefused) {
  const auto request = site.Request("/read/popular");
  for (int i = 0; i < 5; ++i) {
    site.crashes.OnCrash({"id-1", "i-a", FingerprintsOf(request, {}), false});
    EXPECT_EQ(site.Send(request).assume_value().status, 200);
  }
}

}  // namespace
}  // namespace tanagerloom
