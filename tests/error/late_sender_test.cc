// Tests of an HTTP client whose deadline passes or whose order lease ends while
// it connects, for example because its process is suspended. What it sent after
// that would arrive too late.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <thread>

#include "http/http_client.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "platform/engine_client.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LateSender : public testing::Test {
 protected:
  // Leaked with the server, whose fibers run until the process ends.
  int& requests = *new int(0);
  HttpServer& server =
      *new HttpServer(Runtime::Get().io(),
                      HttpServerLimits{},
                      [this](const HttpRequest&, HttpResponder& responder) {
                        ++requests;
                        (void)responder.Send({202, {}, ""});
                      });
  const Address address = server.Listen({"127.0.0.1", 0}).value();
  SteadyClock clock;
  HttpClient client{Runtime::Get().io()};

  // Gives requests that were written the time to reach the server.
  void WaitForArrivals() { boost::this_fiber::sleep_for(milliseconds(50)); }
};

// Guards against a request that is written after its deadline, because the
// connection was established while the process was suspended.
TEST_F(LateSender, NothingIsWrittenAfterTheDeadline) {
  bool failed = false;
  boost::fibers::fiber call([&] {
    const auto answer = client.Call(
        address, {"POST", "/order", {}, "late"},
        {.deadline = clock.Now() + milliseconds(50), .fresh_connection = true});
    failed = !answer;
    EXPECT_TRUE(answer || answer.assume_error().verdict == Verdict::kNotRun);
  });
  boost::this_fiber::yield();  // Lets the call start to connect.
  std::this_thread::sleep_for(milliseconds(200));
  call.join();
  WaitForArrivals();
  EXPECT_TRUE(failed);
  EXPECT_EQ(requests, 0);
}

// Guards against an order that is written after the lease of its sender ended
// while the sender connected to the engine.
TEST_F(LateSender, OrderIsNotWrittenAfterItsLeaseEnded) {
  platform::EngineClient engines(client, clock);
  EngineOrder order;
  order.model = "m";
  order.may_send_order = [] { return false; };
  const auto refused = engines.Send(address, order);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.assume_error().kind, ErrorKind::kUnavailable);
  WaitForArrivals();
  EXPECT_EQ(requests, 0);
  order.may_send_order = [] { return true; };
  EXPECT_TRUE(engines.Send(address, order));
  EXPECT_EQ(requests, 1);
}

}  // namespace
}  // namespace tanagerloom
