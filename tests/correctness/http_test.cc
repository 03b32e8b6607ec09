// Tests of the HTTP client and server over loopback.
#include <gtest/gtest.h>

#include <boost/fiber/operations.hpp>

#include "http/http_client.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

class HttpTest : public testing::Test {
 protected:
  Address Serve(HttpServer::Handler handler,
                const HttpServerLimits& limits = {}) {
    server_ =
        std::make_unique<HttpServer>(Runtime::Get().io(), limits, handler);
    return server_->Listen({"127.0.0.1", 0}).value();
  }

  HttpCallOptions Options() { return {.deadline = clock_.Now() + 5s}; }

  SteadyClock clock_;
  HttpClient client_{Runtime::Get().io()};
  std::unique_ptr<HttpServer> server_;
};

// Guards against bodies that are lost, or assigned to another request, when a
// connection is reused.
TEST_F(HttpTest, EchoesBodyOverReusedConnection) {
  const auto address =
      Serve([](const HttpRequest& request, HttpResponder& responder) {
        (void)responder.Send({200, {}, request.body});
      });
  for (int i = 0; i < 3; ++i) {
    const auto body = std::to_string(i);
    const auto response =
        client_.Call(address, {"POST", "/echo", {}, body}, Options());
    ASSERT_TRUE(response) << response.assume_error().error.message;
    EXPECT_EQ(response.assume_value().body, body);
  }
}

// Guards against a client that returns after the first chunk of a response.
TEST_F(HttpTest, StreamedBodyArrivesWhole) {
  const auto address = Serve([](const HttpRequest&, HttpResponder& responder) {
    (void)responder.StartStream(200, {});
    (void)responder.Write("one ");
    boost::this_fiber::sleep_for(20ms);
    (void)responder.Write("two");
    (void)responder.Finish();
  });
  const auto response = client_.Call(address, {"GET", "/", {}, ""}, Options());
  ASSERT_TRUE(response);
  EXPECT_EQ(response.assume_value().body, "one two");
}

// Guards against a truncated response that is returned as a complete one.
TEST_F(HttpTest, AbortedStreamIsAnError) {
  const auto address = Serve([](const HttpRequest&, HttpResponder& responder) {
    (void)responder.StartStream(200, {});
    (void)responder.Write("one ");
    responder.Abort();
  });
  const auto response = client_.Call(address, {"GET", "/", {}, ""}, Options());
  ASSERT_FALSE(response);
  EXPECT_EQ(response.assume_error().verdict, Verdict::kMayHaveRun);
}

// Guards against a request that counts as possibly run although no connection
// was established.
TEST_F(HttpTest, RefusedConnectionIsNotRun) {
  const auto response =
      client_.Call({"127.0.0.1", 1}, {"GET", "/", {}, ""}, Options());
  ASSERT_FALSE(response);
  EXPECT_EQ(response.assume_error().verdict, Verdict::kNotRun);
}

// Guards against a handler that keeps working after its client disconnected,
// also if the client left after the time that it had to send its request.
TEST_F(HttpTest, HandlerIsNotifiedWhenTheClientDisconnects) {
  bool client_gone = false;
  HttpServerLimits limits;
  limits.read_timeout = 100ms;
  const auto address = Serve(
      [&](const HttpRequest&, HttpResponder& responder) {
        responder.OnClientGone([&] { client_gone = true; });
        const auto end = clock_.Now() + 5s;
        while (!client_gone && clock_.Now() < end) {
          boost::this_fiber::sleep_for(5ms);
        }
      },
      limits);
  for (const auto stay : {50ms, 300ms}) {
    client_gone = false;
    const auto response = client_.Call(
        address, {"GET", "/", {}, ""},
        {.deadline = clock_.Now() + stay, .fresh_connection = true});
    EXPECT_FALSE(response);
    boost::this_fiber::sleep_for(50ms);
    EXPECT_TRUE(client_gone) << stay.count() << " ms";
  }
}

// Guards against a request that gets no answer because its server stopped while
// the response before, whose head promised an open connection, was sent.
TEST_F(HttpTest, RequestAfterAStreamThatOutlastedAStopIsAnswered) {
  const auto address = Serve([&](const HttpRequest&, HttpResponder& responder) {
    (void)responder.StartStream(200, {});
    server_->StopAccepting();
    (void)responder.Write("served");
    (void)responder.Finish();
  });
  for (const bool closes : {false, true}) {
    const auto response =
        client_.Call(address, {"GET", "/", {}, ""}, Options());
    ASSERT_TRUE(response) << response.assume_error().error.message;
    EXPECT_EQ(response.assume_value().body, "served");
    EXPECT_EQ(response.assume_value().headers.Find("Connection") == "close",
              closes);
  }
}

}  // namespace
}  // namespace tanagerloom
