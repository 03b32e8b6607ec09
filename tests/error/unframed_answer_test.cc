// Tests of responses that have neither a length nor chunks and end with their
// connection, and of endpoints that answer a resumed stream with an error.
#include <gtest/gtest.h>

#include "http/http_connection.h"
#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

using testing_support::WaitUntil;

const std::string kUnframed =
    "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n"
    "Connection: close\r\n\r\n";

class UnframedAnswer : public testing::Test {
 protected:
  // Sends requests to endpoints that all answer with `answer`.
  void Start(const std::string& answer) {
    auto& endpoint = *new RawEndpoint({"unframed", answer, ""});
    site.a.advertised_port = endpoint.port();
    site.b.advertised_port = endpoint.port();
    site.Start();
  }

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against failing a whole answer because only its connection ends it.
TEST_F(UnframedAnswer, WholeAnswerIsForwarded) {
  Start(kUnframed + "the answer");
  const auto answer = site.Send(site.Request("/book/x"));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.assume_value().status, 200);
  EXPECT_EQ(answer.assume_value().body, "the answer");
}

// Guards against failing a stream because only its connection ends it.
TEST_F(UnframedAnswer, StreamIsForwarded) {
  const auto events =
      EndpointStandin::StreamEvent(1) + EndpointStandin::StreamEvent(2);
  Start(kUnframed + events);
  const auto answer = site.Send(site.Request("/stream-once/x"));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer.assume_value().body, events);
}

// Guards against a stream that broke off within an event and reaches the client
// as complete.
TEST_F(UnframedAnswer, StreamThatEndsWithinAnEventIsBrokenOff) {
  Start(kUnframed + EndpointStandin::StreamEvent(1) + "id: 2\ndata: to");
  const auto once = site.Send(site.Request("/stream-once/x"));
  EXPECT_FALSE(once);
  const auto resumable = site.Send(site.Request("/stream-on/x"));
  EXPECT_FALSE(resumable);
}

// An endpoint's response to the attempt that resumes a stream.
struct SecondAnswer {
  const char* name;
  int status;
  HttpHeaders headers;
  std::string body;
};

class ErrorAfterAStreamBegan : public testing::TestWithParam<SecondAnswer> {
 protected:
  ForwardingSite& site = *new ForwardingSite();
};

// Guards against an error of the next endpoint that the client finds in the
// middle of its stream, and against a broken stream that looks complete.
TEST_P(ErrorAfterAStreamBegan, IsNeitherForwardedNorTakenForTheEnd) {
  site.Start();
  int n = 0;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    if (n++ == 0) {
      (void)responder.StartStream(200, EndpointStandin::SealedHeaders(request));
      (void)responder.Write(EndpointStandin::StreamEvent(1) + "id: 2\nda");
      responder.Abort();
      return;
    }
    auto headers = EndpointStandin::SealedHeaders(request);
    for (const auto& it : GetParam().headers.fields()) {
      headers.Add(it.name, it.value);
    }
    (void)responder.Send({GetParam().status, headers, GetParam().body});
  });
  HttpConnection connection(Runtime::Get().io(), site.address);
  const auto deadline = site.clock.Now() + std::chrono::seconds(8);
  ASSERT_TRUE(connection.Connect(deadline));
  ASSERT_TRUE(
      connection.Send(site.Request("/stream-on/x"), {.deadline = deadline}));
  std::string body;
  bool complete = true;
  while (true) {
    const auto read = connection.ReadSome(body, deadline);
    complete = static_cast<bool>(read);
    if (!read || read.assume_value() == 0) {
      break;
    }
  }
  EXPECT_FALSE(complete);
  EXPECT_EQ(body, EndpointStandin::StreamEvent(1));
  EXPECT_GE(n, 2);
}

INSTANTIATE_TEST_SUITE_P(
    Errors,
    ErrorAfterAStreamBegan,
    testing::Values(
        SecondAnswer{"InternalError", 500, {}, "internal error\n\n"},
        SecondAnswer{"Unavailable", 503, {{"Not-Executed", "1"}}, "full\n\n"},
        SecondAnswer{"NotFound", 404, {}, "no such stream\n\n"},
        SecondAnswer{"ObjectWithStatus200",
                     200,
                     {{"Content-Type", "application/json"}},
                     "{\"error\":\"failed\"}\n\n"},
        SecondAnswer{"TextWithStatus200", 200, {}, R"({"error":"failed"})"}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace tanagerloom
