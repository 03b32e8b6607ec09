// Tests of a client whose process was suspended, or whose right to send ended,
// while it connected: what it sends then would arrive out of turn.
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
  // Kept until the process ends, as the fibers of its server are.
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

  void LetEverythingArrive() { boost::this_fiber::sleep_for(milliseconds(50)); }
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
  boost::this_fiber::yield();  // The call is connecting.
  std::this_thread::sleep_for(milliseconds(200));
  call.join();
  LetEverythingArrive();
  EXPECT_TRUE(failed);
  EXPECT_EQ(requests, 0);
}

// Guards against an order that goes out after the lease ended while its sender
// connected to the engine.
TEST_F(LateSender, OrderIsNotWrittenOnceItsSenderMayNotOrder) {
  platform::EngineClient engines(client, clock);
  EngineOrder order;
  order.model = "m";
  order.may_send_order = [] { return false; };
  const auto refused = engines.Send(address, order);
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.assume_error().kind, ErrorKind::kUnavailable);
  LetEverythingArrive();
  EXPECT_EQ(requests, 0);
  order.may_send_order = [] { return true; };
  EXPECT_TRUE(engines.Send(address, order));
  EXPECT_EQ(requests, 1);
}

}  // namespace
}  // namespace tanagerloom
