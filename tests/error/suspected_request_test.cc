// Tests of requests after which an endpoint crashed once or twice, so that they
// are suspected and not yet refused.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <vector>

#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using testing_support::WaitUntil;

class SuspectedRequest : public testing::Test {
 protected:
  static constexpr int kRequests = 10;

  void SetUp() override { site.Start(); }

  // Sends equal requests that wait for a model, and suspects them before it is
  // loaded at both endpoints. Returns the statuses of the responses.
  std::vector<int> SendWaitingSuspects() {
    auto request = site.Request("/read/x");
    request.headers.Set("Model", "m");
    std::vector<int> statuses;
    std::vector<boost::fibers::fiber> clients;
    for (int i = 0; i < kRequests; ++i) {
      clients.emplace_back([&] {
        statuses.push_back(site.Send(request).assume_value().status);
      });
    }
    EXPECT_TRUE(WaitUntil(
        [&] { return site.forwarder.requests_in_flight() == kRequests; }));
    site.crashes.OnCrash({"id-1", "i-c", FingerprintsOf(request, {}), false});
    for (auto* it : {&site.a, &site.b}) {
      it->loaded = {"m"};
      it->Register();
    }
    for (auto& it : clients) {
      it.join();
    }
    return statuses;
  }

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against equal requests that all crash endpoints at once because they
// waited for the same one.
TEST_F(SuspectedRequest, EqualSuspectsRunOneAtATime) {
  for (auto* it : {&site.a, &site.b}) {
    it->serve = [it](const HttpRequest&, HttpResponder& responder) {
      boost::this_fiber::sleep_for(milliseconds(20));
      it->Crash();
      responder.Abort();
    };
  }
  (void)SendWaitingSuspects();
  EXPECT_EQ(site.Runs(), 2U);
}

// Guards against sound requests that are held back one by one because an
// endpoint crashed once.
TEST_F(SuspectedRequest, EqualSuspectsRunTogetherOnceOneHasRun) {
  site.SetServe([](const HttpRequest& it, HttpResponder& responder) {
    boost::this_fiber::sleep_for(milliseconds(100));
    (void)responder.Send({200, EndpointStandin::SealedHeaders(it), "done"});
  });
  const auto sent_at = site.clock.Now();
  const auto statuses = SendWaitingSuspects();
  EXPECT_EQ(std::ranges::count(statuses, 200), kRequests);
  EXPECT_LT(site.clock.Now() - sent_at, milliseconds(100 * kRequests));
}

// Guards against equal requests that crash a second endpoint because they are
// retried before the crash of the first is counted.
TEST_F(SuspectedRequest, RetryAwaitsTheCountOfTheCrash) {
  constexpr std::size_t kEqual = CrashSuspects::kCrashLimit;
  bool crash = false;
  site.a.loaded = {"m"};
  site.a.serve = [&](const HttpRequest&, HttpResponder& responder) {
    (void)WaitUntil([&] { return crash; });
    site.a.Crash();
    responder.Abort();
  };
  site.a.Register();
  auto request = site.Request("/read/x");
  request.headers.Set("Model", "m");
  std::vector<boost::fibers::fiber> clients;
  for (std::size_t i = 0; i < kEqual; ++i) {
    clients.emplace_back([&] { (void)site.Send(request); });
  }
  ASSERT_TRUE(WaitUntil([&] { return site.a.runs().size() == kEqual; }));
  site.b.loaded = {"m"};
  site.b.Register();
  ASSERT_TRUE(WaitUntil([&] {
    return site.view.Candidates("s", {"m", ""}, {}).size() == 2;
  }));
  crash = true;
  for (auto& it : clients) {
    it.join();
  }
  EXPECT_EQ(site.b.runs().size(), 0U);
}

// Guards against a crash count that a failing endpoint resets.
TEST_F(SuspectedRequest, ErrorResponseDoesNotResetTheCrashCount) {
  site.SetServe([](const HttpRequest& it, HttpResponder& responder) {
    (void)responder.Send({500, EndpointStandin::SealedHeaders(it), "failed"});
  });
  const auto request = site.Request("/read/x");
  const auto fingerprints = FingerprintsOf(request, {});
  for (std::uint32_t i = 1; i < CrashSuspects::kCrashLimit; ++i) {
    site.crashes.OnCrash({"id-1", "i-c", fingerprints, false});
  }
  EXPECT_EQ(site.Send(request).assume_value().status, 500);
  site.crashes.OnCrash({"id-1", "i-c", fingerprints, false});
  EXPECT_TRUE(site.crashes.IsQuarantined(fingerprints));
}

}  // namespace
}  // namespace tanagerloom
