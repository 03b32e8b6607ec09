// Tests of which waiting request is sent when endpoints are full, with
// stand-ins for the object store and the endpoints.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <string>
#include <vector>

#include "base/events.h"
#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::WaitUntil;

constexpr char kHotKey[] = "k7b2ex5wa5xwyhks8nbk";
constexpr char kQuietKey[] = "asnmgkcuyj8pjbvk9m68";

nlohmann::json RouteWithPriority(const std::string& prefix, int priority) {
  auto route = RouteJson(prefix, "non_idempotent", 1, false);
  route["priority"] = priority;
  route["timeoutMs"] = 8000;
  return route;
}

// A node whose endpoints hold each request until a place is freed.
class WaitingOrder : public testing::Test {
 protected:
  static constexpr std::size_t kRunning = 32;  ///< Fills both endpoints.

  void SetUp() override {
    auto config = ConfigJson();
    config["routes"] = {RouteWithPriority("/high/", 0),
                        RouteWithPriority("/low/", 5)};
    site_.store.Set("config", "main", config);
    site_.a.Register();
    site_.b.Register();
    site_.SetServe(
        [this](const HttpRequest& request, HttpResponder& responder) {
          const auto number = sent_.size();
          sent_.push_back(request.target);
          WaitUntil([&] { return number < freed_; });
          (void)responder.Send(
              {200, EndpointStandin::SealedHeaders(request), "done"});
        });
    site_.registry.Start();
    ASSERT_TRUE(WaitUntil([&] {
      return site_.registry.config() != nullptr &&
             site_.view.directory().records().size() == 2;
    }));
  }

  // Puts a configuration with two customers in force.
  void UseCustomers(int timeout_ms) {
    auto config = ConfigJson();
    config["version"] = 2;
    config["routes"] = {RouteWithPriority("/low/", 5)};
    config["routes"][0]["timeoutMs"] = timeout_ms;
    config["tenants"] = {
        {{"name", "hot"}, {"apiKeys", {kHotKey}}, {"priority", 3}},
        {{"name", "quiet"}, {"apiKeys", {kQuietKey}}, {"priority", 3}}};
    site_.store.Set("config", "main", config);
    ASSERT_TRUE(WaitUntil(
        [&] { return site_.registry.config()->config.version == 2; }));
  }

  // Sends `n` requests, each on a fiber of its own.
  void SendMany(const std::string& path,
                std::size_t n,
                const std::string& key = "") {
    for (std::size_t i = 0; i < n; ++i) {
      boost::fibers::fiber([this, path, key] {
        auto request = site_.Request(path);
        request.headers = {{"Host", "h.example"},
                           {"Attempt-Id", "id-" + std::to_string(++last_id_)},
                           {"Deadline-Ms", "8000"}};
        if (!key.empty()) {
          request.headers.Add("Authorization", "Token " + key);
        }
        const auto answer = site_.Send(request);
        ++answered_;
        if (answer && answer.assume_value().headers.Find("Retry-After")) {
          ++retry_after_;
        }
        served_ += answer && answer.assume_value().status == 200 ? 1 : 0;
      }).detach();
    }
  }

  std::size_t Waiting() const {
    return site_.forwarder.waiting(0) + site_.forwarder.waiting(3) +
           site_.forwarder.waiting(5);
  }

  // Lets the endpoints answer all requests.
  void EndAll(std::size_t requests) {
    freed_ = requests;
    EXPECT_TRUE(WaitUntil([&] { return answered_ == requests; }));
    EXPECT_EQ(served_, requests);
  }

  ForwardingSite& site_ = *new ForwardingSite();
  std::vector<std::string> sent_;  ///< Targets in the order of arrival.
  std::size_t freed_ = 0;          ///< Requests that the endpoints may answer.
  std::size_t answered_ = 0;
  std::size_t served_ = 0;
  std::size_t retry_after_ = 0;  ///< Answers with a Retry-After.
  int last_id_ = 0;
};

// Guards against a free place that goes to whichever request wakes first
// instead of the one of the highest priority.
TEST_F(WaitingOrder, PlacesGoToTheHighestPriority) {
  SendMany("/low/first", kRunning);
  ASSERT_TRUE(WaitUntil([&] { return sent_.size() == kRunning; }));
  SendMany("/low/x", 6);
  ASSERT_TRUE(WaitUntil([&] { return Waiting() == 6; }));
  SendMany("/high/x", 6);
  ASSERT_TRUE(WaitUntil([&] { return Waiting() == 12; }));
  EXPECT_EQ(site_.forwarder.waiting(0), 6U);
  freed_ = 6;
  ASSERT_TRUE(WaitUntil([&] { return sent_.size() == kRunning + 6; }));
  for (std::size_t i = kRunning; i < sent_.size(); ++i) {
    EXPECT_EQ(sent_[i], "/high/x") << i;
  }
  EndAll(kRunning + 12);
  EXPECT_EQ(Waiting(), 0U);
}

// Guards against a place that stays empty because the request that was given it
// has lost its client.
TEST_F(WaitingOrder, RequestWhoseClientLeftDoesNotHoldAPlace) {
  SendMany("/low/first", kRunning);
  ASSERT_TRUE(WaitUntil([&] { return sent_.size() == kRunning; }));
  boost::fibers::fiber([this] {
    (void)site_.client.Call(site_.address, site_.Request("/high/gone"),
                            {.deadline = site_.clock.Now() + milliseconds(100),
                             .fresh_connection = true});
  }).detach();
  ASSERT_TRUE(WaitUntil([&] { return Waiting() == 1; }));
  ASSERT_TRUE(WaitUntil([&] { return Waiting() == 0; }));
  SendMany("/low/x", 1);
  ASSERT_TRUE(WaitUntil([&] { return Waiting() == 1; }));
  freed_ = 1;
  ASSERT_TRUE(WaitUntil([&] { return sent_.size() == kRunning + 1; }));
  EXPECT_EQ(sent_.back(), "/low/x");
  EndAll(kRunning + 1);
}

// Guards against a customer whose backlog delays the few requests of another
// one.
TEST_F(WaitingOrder, CustomersGetEqualShares) {
  UseCustomers(8000);
  SendMany("/low/first", kRunning, kHotKey);
  ASSERT_TRUE(WaitUntil([&] { return sent_.size() == kRunning; }));
  SendMany("/low/hot", 18, kHotKey);
  ASSERT_TRUE(WaitUntil([&] { return Waiting() == 18; }));
  SendMany("/low/quiet", 3, kQuietKey);
  ASSERT_TRUE(WaitUntil([&] { return Waiting() == 21; }));
  freed_ = 6;
  ASSERT_TRUE(WaitUntil([&] { return sent_.size() == kRunning + 6; }));
  EXPECT_EQ(std::count(sent_.begin() + kRunning, sent_.end(), "/low/quiet"), 3);
  EndAll(kRunning + 21);
}

// Guards against a request that waits for a turn that surely comes too late,
// and against refusing a customer whose turn comes in time. The endpoints need
// at least 0.8 s a request, so that places never free faster than expected.
TEST_F(WaitingOrder, TurnThatComesTooLateIsRefusedAtOnce) {
  constexpr std::size_t kWaiting = 250;
  UseCustomers(4000);
  site_.SetServe([this](const HttpRequest& request, HttpResponder& responder) {
    sent_.push_back(request.target);
    site_.clock.SleepFor(milliseconds(800));
    (void)responder.Send(
        {200, EndpointStandin::SealedHeaders(request), "done"});
  });
  const auto refused = [this] {
    const auto events = site_.log.Since(0);
    return std::ranges::find_if(events, [](const EventRecord& it) {
             return it.id.number == events::kForwardTurnTooLate.number &&
                    it.fields.value("customer", "") == "hot" &&
                    it.fields.value("priority", 0) == 3;
           }) != events.end();
  };
  SendMany("/low/hot", kRunning + kWaiting, kHotKey);
  ASSERT_TRUE(WaitUntil([&] {
    site_.clock.SleepFor(milliseconds(100));
    SendMany("/low/hot", 1, kHotKey);
    return refused();
  }));
  EXPECT_TRUE(WaitUntil([&] { return retry_after_ > 0; }));
  SendMany("/low/quiet", 1, kQuietKey);
  EXPECT_TRUE(WaitUntil(
      [&] { return std::ranges::find(sent_, "/low/quiet") != sent_.end(); }));
  // The others end by their deadlines.
  EXPECT_TRUE(WaitUntil(
      [&] { return answered_ == static_cast<std::size_t>(last_id_); }));
}

}  // namespace
}  // namespace tanagerloom
