// Tests of endpoints that answer before they have read a long request, and of
// answers whose status is none. They guard against a client that takes part of
// an answer, or no answer, for a whole one.
#include <gtest/gtest.h>

#include <boost/asio/read.hpp>

#include "http/http_client.h"
#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kLongBodyBytes = 6UL * 1024 * 1024;
constexpr char kPart[] = "id: 1\ndata: part\n\n";

std::string Head(const std::string& status, const std::string& framing = "") {
  return "HTTP/1.1 " + status +
         "\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n" + framing + "\r\n";
}

// What a client got on its connection.
struct Received {
  std::string status_line;
  std::string text;

  // Whether the answer has its end.
  bool IsWhole() const {
    return text.ends_with("\r\n0\r\n\r\n") ||
           text.find("Content-Length:") != std::string::npos;
  }
};

// Sends a POST request with a body of the given length and reads until the
// connection ends.
Received Post(const Address& to,
              const std::string& path,
              std::size_t body_bytes,
              bool chunked) {
  auto& io = Runtime::Get().io();
  boost::asio::ip::tcp::socket socket(io);
  const boost::asio::ip::tcp::endpoint remote(
      boost::asio::ip::make_address(to.ip), to.port);
  (void)AwaitIo([&](auto done) { socket.async_connect(remote, done); });
  const std::string body(body_bytes, 'b');
  char size[32];
  std::snprintf(size, sizeof(size), chunked ? "%zx" : "%zu", body_bytes);
  std::string request = "POST " + path +
                        " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
                        "Deadline-Ms: 4000\r\nConnection: close\r\n";
  request += chunked
                 ? "Transfer-Encoding: chunked\r\n\r\n" + std::string(size) +
                       "\r\n" + body + "\r\n0\r\n\r\n"
                 : "Content-Length: " + std::string(size) + "\r\n\r\n" + body;
  (void)AwaitIo([&](auto done) {
    boost::asio::async_write(socket, boost::asio::buffer(request), done);
  });
  Received out;
  (void)AwaitIo([&](auto done) {
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(out.text),
                            done);
  });
  out.status_line = out.text.substr(0, out.text.find('\r'));
  return out;
}

// Whether the body of the request comes in chunks, and how long the endpoint
// waits after its part of an answer.
using EarlyAnswer = std::tuple<bool, int>;

class EarlyAnswers : public testing::TestWithParam<EarlyAnswer> {};

// Guards against part of an answer without a length that ends with a reset,
// sent while the request is still being written, and reaches the client as
// whole.
TEST_P(EarlyAnswers, ThatEndWithAResetAreNotWhole) {
  const auto [chunked, pause_ms] = GetParam();
  auto& endpoint = *new RawEndpoint({.name = "early",
                                     .head = Head("200 OK") + kPart,
                                     .reset = true,
                                     .pause = milliseconds(pause_ms)});
  auto& site = *new ForwardingSite();
  site.a.advertised_port = endpoint.port();
  site.b.advertised_port = endpoint.port();
  site.Start();
  for (const char* path :
       {"/book/x", "/read/x", "/stream-once/x", "/stream-on/x"}) {
    const auto got = Post(site.address, path, kLongBodyBytes, chunked);
    EXPECT_FALSE(got.status_line == "HTTP/1.1 200 OK" && got.IsWhole())
        << path << ": " << got.text;
    EXPECT_FALSE(got.status_line.empty() && got.IsWhole()) << path;
  }
  EXPECT_GE(endpoint.requests(), 4);
}

INSTANTIATE_TEST_SUITE_P(Uploads,
                         EarlyAnswers,
                         testing::Combine(testing::Bool(),
                                          testing::Values(0, 100)));

// Guards against the same on the path of models and services, and in calls of
// the object store and of engines.
TEST(EarlyAnswer, ThatEndsWithAResetFailsTheCallOfAClient) {
  HttpClient client(Runtime::Get().io());
  SteadyClock clock;
  for (const int pause_ms : {0, 100}) {
    auto& endpoint = *new RawEndpoint({.name = "early",
                                       .head = Head("200 OK") + kPart,
                                       .reset = true,
                                       .pause = milliseconds(pause_ms)});
    const auto response =
        client.Call({"127.0.0.1", endpoint.port()},
                    {"POST", "/", {}, std::string(kLongBodyBytes, 'b')},
                    {.deadline = clock.Now() + seconds(4)});
    EXPECT_FALSE(response) << pause_ms;
  }
}

struct NoAnswer {
  const char* name;
  std::string status;
};

class NoAnswers : public testing::TestWithParam<NoAnswer> {
 protected:
  RawEndpoint& endpoint = *new RawEndpoint(
      {"", Head(GetParam().status, "Content-Length: 4\r\n") + "none", ""});
};

// Guards against a status that no answer can have and that reaches the client.
TEST_P(NoAnswers, AreNotForwarded) {
  auto& site = *new ForwardingSite();
  site.a.advertised_port = endpoint.port();
  site.b.advertised_port = endpoint.port();
  site.Start();
  for (const char* path :
       {"/book/x", "/read/x", "/stream-once/x", "/stream-on/x"}) {
    for (const bool chunked : {false, true}) {
      const auto got = Post(site.address, path, 10, chunked);
      EXPECT_TRUE(got.status_line.starts_with("HTTP/1.1 50"))
          << path << ": " << got.status_line;
      EXPECT_EQ(got.text.find("none"), std::string::npos) << path;
    }
  }
}

TEST_P(NoAnswers, FailTheCallOfAClient) {
  HttpClient client(Runtime::Get().io());
  SteadyClock clock;
  const auto response =
      client.Call({"127.0.0.1", endpoint.port()}, {"GET", "/", {}, ""},
                  {.deadline = clock.Now() + seconds(4)});
  EXPECT_FALSE(response);
}

INSTANTIATE_TEST_SUITE_P(
    Statuses,
    NoAnswers,
    testing::Values(NoAnswer{"Zero", "000 "},
                    NoAnswer{"Below100", "099 Odd"},
                    NoAnswer{"Above599", "600 Odd"},
                    NoAnswer{"Largest", "999 Odd"},
                    NoAnswer{"OnlyInterim", "102 Processing"},
                    NoAnswer{"Switching", "101 Switching"}),
    [](const auto& it) { return it.param.name; });

// Guards against an interim response that ends a request whose answer follows.
TEST(InterimResponse, IsFollowedByTheAnswer) {
  const std::string interim =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
      "x\r\n\r\n";
  auto& endpoint = *new RawEndpoint(
      {"", interim + Head("200 OK", "Content-Length: 4\r\n") + "done", ""});
  auto& site = *new ForwardingSite();
  site.a.advertised_port = endpoint.port();
  site.b.advertised_port = endpoint.port();
  site.Start();
  const auto got = Post(site.address, "/book/x", 10, /*chunked=*/false);
  EXPECT_EQ(got.status_line, "HTTP/1.1 200 OK");
  EXPECT_TRUE(got.text.ends_with("done")) << got.text;
}

}  // namespace
}  // namespace tanagerloom
