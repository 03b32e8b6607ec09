// Tests of endpoints whose answer is followed by a long trailer field. They
// guard against a node that ends while it reads one: all its clients lose their
// requests then, also those that other endpoints run.
#include <gtest/gtest.h>

#include "http/http_client.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

using std::chrono::seconds;

// More than the library can keep of a field, and less than the input that a
// connection keeps.
const std::string kLongText(70'000, 'r');
// One event, so that it is also a whole stream.
const std::string kBody = "data: whole\n\n";
const std::string kChunkedBody =
    "Transfer-Encoding: chunked\r\n\r\nd\r\n" + kBody + "\r\n0\r\n";

std::string SealedAnswer(int status) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n" + kChunkedBody;
}

struct TrailerCase {
  const char* name;
  std::string fields;
};

class LongTrailer : public testing::TestWithParam<TrailerCase> {
 protected:
  std::string Trailer() const { return GetParam().fields + "\r\n"; }
};

// Guards against the end of a node over an answer that it forwards. The answer
// itself is whole and reaches the client.
TEST_P(LongTrailer, OfAForwardedAnswer) {
  auto& site = *new ForwardingSite();
  auto& endpoint = *new RawEndpoint({"", SealedAnswer(200) + Trailer()});
  site.a.advertised_port = endpoint.port();
  site.b.advertised_port = endpoint.port();
  site.Start();
  for (const char* path : {"/read/x", "/book/x", "/stream-once/x"}) {
    SCOPED_TRACE(path);
    const auto response = site.Send(site.Request(path));
    ASSERT_TRUE(response) << response.assume_error().error.message;
    EXPECT_EQ(response.assume_value().status, 200);
    EXPECT_EQ(response.assume_value().body, kBody);
    EXPECT_FALSE(response.assume_value().headers.Find("X-Rest"));
  }
  EXPECT_EQ(endpoint.requests(), 3);
}

// Guards against the end of a node over a failure of an endpoint.
TEST_P(LongTrailer, OfAFailure) {
  auto& site = *new ForwardingSite();
  auto& endpoint = *new RawEndpoint({"", SealedAnswer(500) + Trailer()});
  site.a.advertised_port = endpoint.port();
  site.b.advertised_port = endpoint.port();
  site.Start();
  const auto response = site.Send(site.Request("/book/x"));
  ASSERT_TRUE(response) << response.assume_error().error.message;
  EXPECT_EQ(response.assume_value().status, 500);
}

// Guards against the end of a node over an answer to one of its own calls, as
// those of the object store and of engines.
TEST_P(LongTrailer, OfAnAnswerToTheNode) {
  SteadyClock clock;
  auto& server =
      *new RawEndpoint({"", "HTTP/1.1 200 OK\r\n" + kChunkedBody + Trailer()});
  HttpClient client(Runtime::Get().io());
  const auto response =
      client.Call({"127.0.0.1", server.port()}, {"GET", "/", {}, ""},
                  {.deadline = clock.Now() + seconds(5)});
  ASSERT_TRUE(response) << response.assume_error().error.message;
  EXPECT_EQ(response.assume_value().body, kBody);
}

// Guards against a trailer that changes how the answer's header is read.
TEST(AnswerTrailer, IsNoPartOfTheHeader) {
  SteadyClock clock;
  auto& server =
      *new RawEndpoint({"", "HTTP/1.1 200 OK\r\nServer-Load: 1,0,8\r\n" +
                                kChunkedBody + "Server-Leaving: 1\r\n\r\n"});
  HttpClient client(Runtime::Get().io());
  const auto response =
      client.Call({"127.0.0.1", server.port()}, {"GET", "/", {}, ""},
                  {.deadline = clock.Now() + seconds(5)});
  ASSERT_TRUE(response);
  EXPECT_TRUE(response.assume_value().headers.Find("Server-Load"));
  EXPECT_FALSE(response.assume_value().headers.Find("Server-Leaving"));
}

// Guards against a request of the node's own whose field is too long, such as
// one made from a name in the configuration.
TEST(RequestField, TooLongForAMessageIsNotSent) {
  SteadyClock clock;
  auto& server = *new RawEndpoint({"", "HTTP/1.1 200 OK\r\n" + kChunkedBody});
  HttpClient client(Runtime::Get().io());
  for (const HttpHeader& field :
       {HttpHeader{"X-Field", kLongText}, HttpHeader{kLongText, "value"}}) {
    const auto response =
        client.Call({"127.0.0.1", server.port()}, {"GET", "/", {field}, ""},
                    {.deadline = clock.Now() + seconds(5)});
    ASSERT_FALSE(response);
    EXPECT_EQ(response.assume_error().verdict, Verdict::kNotRun);
  }
  EXPECT_EQ(server.requests(), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Fields,
    LongTrailer,
    testing::Values(TrailerCase{"Value", "X-Rest: " + kLongText + "\r\n"},
                    TrailerCase{"Name", kLongText + ": rest\r\n"},
                    TrailerCase{"AmongOthers",
                                "X-Rest: 1\r\nX-Rest: " + kLongText +
                                    "\r\nX-Rest: 2\r\n"}),
    [](const auto& it) { return std::string(it.param.name); });

}  // namespace
}  // namespace tanagerloom
