// Tests of what endpoints say of themselves in their responses: that they
// leave, or want no requests for a time.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>

#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::WaitUntil;

class EndpointStatementsTest : public testing::Test {
 protected:
  void SetUp() override { site.Start(); }

  // Adds a header to all responses of endpoint a, which stay successes.
  void AddToAnswersOfA(const std::string& name, const std::string& value) {
    site.a.serve = [=](const HttpRequest& request, HttpResponder& responder) {
      auto headers = EndpointStandin::SealedHeaders(request);
      headers.Add(name, value);
      (void)responder.Send({200, headers, "the answer"});
    };
  }

  // Endpoint a refuses each request and asks for a pause.
  void RefuseAtA(const std::string& pause) {
    site.a.serve = [=](const HttpRequest&, HttpResponder& responder) {
      (void)responder.Send(
          {503, {{"Not-Executed", "1"}, {"Retry-After", pause}}, ""});
    };
  }

  // Lets the entry of endpoint a lapse and come back.
  void LapseAndReturn() {
    site.store.Erase("servers", "i-a");
    ASSERT_TRUE(WaitUntil(
        [&] { return site.view.directory().Find("i-a") == nullptr; }));
    site.a.Register();
    ASSERT_TRUE(WaitUntil(
        [&] { return site.view.directory().Find("i-a") != nullptr; }));
  }

  void RemoveB() {
    site.store.Erase("servers", "i-b");
    ASSERT_TRUE(
        WaitUntil([&] { return site.view.directory().records().size() == 1; }));
  }

  // Sends requests until endpoint a got one.
  void SendUntilAIsReached() {
    const auto before = site.a.requests().size();
    for (int i = 0; i < 100 && site.a.requests().size() == before; ++i) {
      (void)site.Send(site.Request("/read/x"));
    }
    ASSERT_EQ(site.a.requests().size(), before + 1);
  }

  // Number of `n` requests that reach endpoint a.
  std::size_t RequestsAtA(int n) {
    const auto before = site.a.requests().size();
    for (int i = 0; i < n; ++i) {
      (void)site.Send(site.Request("/read/x"));
    }
    return site.a.requests().size() - before;
  }

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against requests to an endpoint that said in a response that it
// leaves, also while the list of endpoints says that it is ready.
TEST_F(EndpointStatementsTest, EndpointThatSaysItLeavesGetsNoMoreRequests) {
  AddToAnswersOfA("Server-Leaving", "1");
  SendUntilAIsReached();
  EXPECT_EQ(RequestsAtA(20), 0U);
  site.a.Register();
  boost::this_fiber::sleep_for(milliseconds(100));
  EXPECT_EQ(RequestsAtA(20), 0U);
}

// Guards against a request that is written to an endpoint which said that it
// leaves after it was chosen, while the connection was opened.
TEST_F(EndpointStatementsTest, EndpointThatLeavesBeforeTheWriteGetsNoRequest) {
  std::string chosen;
  boost::fibers::fiber watcher([&] {
    while (chosen.empty()) {
      const auto use = site.view.LocalUse();
      if (!use.endpoints.empty()) {
        chosen = use.endpoints.front();
        const auto* record = site.view.directory().Find(chosen);
        EXPECT_TRUE(site.view.OnLeaving(chosen, record->boot));
      }
      boost::this_fiber::yield();
    }
  });
  EXPECT_EQ(site.Send(site.Request("/book/x")).assume_value().status, 200);
  watcher.join();
  EXPECT_EQ((chosen == "i-a" ? site.a : site.b).requests().size(), 0U);
  EXPECT_EQ(site.Runs(), 1U);
}

// Guards against an endpoint that is used again because its entry lapsed and
// came back.
TEST_F(EndpointStatementsTest, LeavingOutlastsTheEntryInTheList) {
  AddToAnswersOfA("Server-Leaving", "1");
  SendUntilAIsReached();
  LapseAndReturn();
  EXPECT_EQ(RequestsAtA(20), 0U);
}

// Guards against requests to an endpoint that said it leaves while its entry
// had lapsed, and whose entry comes back with a late check-in.
TEST_F(EndpointStatementsTest, LeavingIsHeardWhileTheEntryHasLapsed) {
  site.a.serve = [this](const HttpRequest& request, HttpResponder& responder) {
    site.store.Erase("servers", "i-a");
    EXPECT_TRUE(WaitUntil(
        [&] { return site.view.directory().Find("i-a") == nullptr; }));
    auto headers = EndpointStandin::SealedHeaders(request);
    headers.Add("Server-Leaving", "1");
    (void)responder.Send({200, headers, "the answer"});
  };
  SendUntilAIsReached();
  site.a.Register();
  ASSERT_TRUE(
      WaitUntil([&] { return site.view.directory().Find("i-a") != nullptr; }));
  EXPECT_EQ(RequestsAtA(20), 0U);
}

// Guards against a notice of a peer that is dropped because the entry of its
// endpoint has lapsed at this node.
TEST_F(EndpointStatementsTest, NoticeIsHeardWhileTheEntryHasLapsed) {
  const auto boot = site.view.directory().Find("i-a")->boot;
  site.store.Erase("servers", "i-a");
  ASSERT_TRUE(
      WaitUntil([&] { return site.view.directory().Find("i-a") == nullptr; }));
  site.statements.OnNotice({"i-a", EndpointCondition::kLeaving, 60000, boot});
  site.a.Register();
  ASSERT_TRUE(
      WaitUntil([&] { return site.view.directory().Find("i-a") != nullptr; }));
  EXPECT_EQ(RequestsAtA(20), 0U);
}

// Guards against a peer that never learns that an endpoint leaves, because it
// was cut off, or not yet started, when the endpoint said so.
TEST_F(EndpointStatementsTest, ReturnedPeerIsToldWhichEndpointsLeave) {
  FakePeers peer(site.cluster, "peer", "z");
  std::vector<EndpointNotice> heard;
  peer.OnMessage([&](const std::string&, const PeerMessage& message) {
    if (const auto* it = std::get_if<EndpointNotice>(&message)) {
      heard.push_back(*it);
    }
  });
  bool cut = true;
  site.cluster.deliver = [&](const std::string&, const std::string&) {
    return !cut;
  };
  AddToAnswersOfA("Server-Leaving", "1");
  SendUntilAIsReached();
  site.statements.TellReturnedPeers();
  EXPECT_EQ(heard.size(), 0U);
  cut = false;
  site.statements.TellReturnedPeers();
  site.statements.TellReturnedPeers();
  ASSERT_EQ(heard.size(), 1U);
  EXPECT_EQ(heard[0].endpoint, "i-a");
  EXPECT_EQ(heard[0].condition, EndpointCondition::kLeaving);
  EXPECT_EQ(heard[0].boot, site.a.started_ms());
  cut = true;
  site.statements.TellReturnedPeers();
  cut = false;
  site.statements.TellReturnedPeers();
  EXPECT_EQ(heard.size(), 2U);
}

// Guards against setting a restarted endpoint aside for what its earlier start
// said.
TEST_F(EndpointStatementsTest, NewStartOfAnEndpointIsNotLeaving) {
  AddToAnswersOfA("Server-Leaving", "1");
  SendUntilAIsReached();
  site.SetServe([](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.Send(
        {200, EndpointStandin::SealedHeaders(request), "the answer"});
  });
  site.a.Restart();
  ASSERT_TRUE(WaitUntil([&] {
    const auto* record = site.view.directory().Find("i-a");
    return record != nullptr && !record->draining;
  }));
  EXPECT_GT(RequestsAtA(40), 0U);
}

// Guards against statements that clients read as addressed to them.
TEST_F(EndpointStatementsTest, StatementsAreNotForwardedToTheClient) {
  RemoveB();
  AddToAnswersOfA("Server-Leaving", "1");
  const auto answer = site.Send(site.Request("/read/x"));
  EXPECT_EQ(answer.assume_value().status, 200);
  EXPECT_FALSE(answer.assume_value().headers.Find("Server-Leaving"));
}

// Guards against a leaving endpoint that is known only after its stream ended.
TEST_F(EndpointStatementsTest, StreamTellsAtItsHeadThatItsEndpointLeaves) {
  bool finish = false;
  site.a.serve = [&](const HttpRequest& request, HttpResponder& responder) {
    auto headers = EndpointStandin::SealedHeaders(request);
    headers.Add("Server-Leaving", "1");
    (void)responder.StartStream(200, headers);
    (void)responder.Write(EndpointStandin::StreamEvent(1));
    while (!finish) {
      boost::this_fiber::sleep_for(milliseconds(10));
    }
    (void)responder.Finish();
  };
  // Its streams run on too, so that its load would favour endpoint a.
  site.b.serve = [&](const HttpRequest& request, HttpResponder& responder) {
    (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
    (void)responder.Write(EndpointStandin::StreamEvent(1));
    while (!finish) {
      boost::this_fiber::sleep_for(milliseconds(10));
    }
    (void)responder.Finish();
  };
  constexpr int kRequests = 10;
  int ended = 0;
  for (int i = 0; i < kRequests; ++i) {
    boost::fibers::fiber([&] {
      const auto answer = site.Send(site.Request("/stream-once/x"));
      ended += answer && answer.assume_value().status == 200 ? 1 : 0;
    }).detach();
    boost::this_fiber::sleep_for(milliseconds(30));
  }
  EXPECT_EQ(site.a.runs().size(), 1U);
  finish = true;  // The stream that runs ends in peace.
  EXPECT_TRUE(WaitUntil([&] { return ended == kRequests; }));
}

// Guards against requests to an endpoint within the pause that it asked for,
// and against a pause that never ends.
TEST_F(EndpointStatementsTest, EndpointGetsNoRequestsWithinItsPause) {
  RefuseAtA("0.6");
  SendUntilAIsReached();
  const auto refused_at = site.clock.Now();
  EXPECT_EQ(RequestsAtA(20), 0U);
  ASSERT_LT(site.clock.Now() - refused_at, milliseconds(600));
  boost::this_fiber::sleep_until(refused_at + milliseconds(620));
  EXPECT_GT(RequestsAtA(40), 0U);
}

// Guards against requests within a pause after the endpoint's entry lapsed and
// came back.
TEST_F(EndpointStatementsTest, PauseOutlastsTheEntryInTheList) {
  RefuseAtA("5");
  SendUntilAIsReached();
  LapseAndReturn();
  EXPECT_EQ(RequestsAtA(20), 0U);
}

// Guards against a request that waits in vain, and against a retry within the
// pause, if the only endpoint wants a pause longer than the request has.
TEST_F(EndpointStatementsTest, RequestIsRefusedAtOnceIfAllPausesAreTooLong) {
  RemoveB();
  RefuseAtA("30");
  (void)site.Send(site.Request("/read/x"));
  const auto sent_at = site.clock.Now();
  std::set<std::string> delays;
  for (int i = 0; i < 5; ++i) {
    const auto answer = site.Send(site.Request("/read/x"));
    EXPECT_EQ(answer.assume_value().status, 503);
    const auto delay = answer.assume_value().headers.Find("Retry-After");
    ASSERT_TRUE(delay);
    EXPECT_GT(std::stod(std::string(*delay)), 25);
    delays.emplace(*delay);
  }
  EXPECT_LT(site.clock.Now() - sent_at, milliseconds(500));
  EXPECT_EQ(site.a.requests().size(), 1U);
  // The clients do not return at one moment.
  EXPECT_GT(delays.size(), 1U);
}

// Guards against refusing a request that can still be served after the pause.
TEST_F(EndpointStatementsTest, RequestWaitsForTheEndOfAShortPause) {
  RemoveB();
  int n = 0;
  site.a.serve = [&](const HttpRequest& request, HttpResponder& responder) {
    if (n++ == 0) {
      (void)responder.Send(
          {503, {{"Not-Executed", "1"}, {"Retry-After", "0.3"}}, ""});
      return;
    }
    (void)responder.Send(
        {200, EndpointStandin::SealedHeaders(request), "the answer"});
  };
  const auto sent_at = site.clock.Now();
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
  EXPECT_GE(site.clock.Now() - sent_at, milliseconds(300));
  EXPECT_EQ(n, 2);
}

// Guards against an endpoint that is set aside for good, or a node that ends,
// because of a value that is no valid pause.
TEST_F(EndpointStatementsTest, InvalidPauseSaysNothing) {
  for (const char* pause :
       {"soon", "-1", "inf", "nan", "1e300", "86401", "", "1,2", "1 s"}) {
    RefuseAtA(pause);
    SendUntilAIsReached();
    EXPECT_TRUE(site.view.AcceptsRequests(
        "i-a", site.view.directory().Find("i-a")->boot))
        << pause;
    boost::this_fiber::sleep_for(milliseconds(110));
  }
}

// Guards against a load that is not read from responses, whether they serve the
// request or refuse it, and against a header that clients no longer get.
TEST_F(EndpointStatementsTest, ReportedLoadIsReadAndStillForwarded) {
  RemoveB();
  AddToAnswersOfA("Server-Load", "16,8,16,300");
  const auto answer = site.Send(site.Request("/read/x"));
  EXPECT_EQ(answer.assume_value().headers.Find("Server-Load"), "16,8,16,300");
  auto candidates = site.view.Candidates("s", {}, {});
  site.view.AddObservations(candidates);
  ASSERT_EQ(candidates.size(), 1U);
  EXPECT_GT(candidates[0].uncounted_in_flight, 10);
  EXPECT_GT(candidates[0].slowness, 2);
  EXPECT_EQ(site.view.observer().refusals(), 0U);
  site.a.serve = [](const HttpRequest&, HttpResponder& responder) {
    (void)responder.Send(
        {503, {{"Not-Executed", "1"}, {"Server-Load", "0,0,16,100"}}, ""});
  };
  (void)site.Send(site.Request("/read/x"));
  EXPECT_GE(site.view.observer().refusals(), 1U);
}

// Guards against requests that are refused, or wait for other nodes, because
// the only endpoint is paced.
TEST_F(EndpointStatementsTest, PacedEndpointIsUsedIfThereIsNoOther) {
  RemoveB();
  AddToAnswersOfA("Server-Load", "0,0,16,100");
  site.view.observer().SetNodes("n", [] { return std::size_t{1000}; });
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
  const auto boot = site.view.directory().Find("i-a")->boot;
  EXPECT_TRUE(
      site.view.OnPause("i-a", boot, site.clock.Now() + milliseconds(100)));
  EXPECT_EQ(site.view.observer().PacedCount(), 1U);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
  }
}

// Guards against a notice of an earlier start that sets a new one aside, and
// against a notice that brings an endpoint back.
TEST_F(EndpointStatementsTest, NoticeHoldsForTheStartThatItNames) {
  const auto boot = site.view.directory().Find("i-a")->boot;
  const auto notice = [&](std::uint64_t about, EndpointCondition condition) {
    site.statements.OnNotice({"i-a", condition, 60000, about});
  };
  notice(boot - 1, EndpointCondition::kLeaving);
  EXPECT_TRUE(site.view.AcceptsRequests("i-a", boot));
  notice(boot, EndpointCondition::kLeaving);
  EXPECT_FALSE(site.view.AcceptsRequests("i-a", boot));
  notice(boot, EndpointCondition::kRecovered);
  EXPECT_FALSE(site.view.AcceptsRequests("i-a", boot));
}

// Guards against a longer pause that a shorter one, or a response without any,
// ends early when responses cross.
TEST_F(EndpointStatementsTest, LongestPauseHolds) {
  const auto boot = site.view.directory().Find("i-a")->boot;
  ResponseTraits traits;
  traits.statement.pause = seconds(10);
  site.statements.OnResponse({"i-a", boot}, traits, "id-1");
  traits.statement.pause = milliseconds(1);
  site.statements.OnResponse({"i-a", boot}, traits, "id-2");
  site.statements.OnResponse({"i-a", boot}, ResponseTraits(), "id-3");
  boost::this_fiber::sleep_for(milliseconds(20));
  EXPECT_FALSE(site.view.AcceptsRequests("i-a", boot));
}

}  // namespace
}  // namespace tanagerloom
