// Tests of messages whose Transfer-Encoding does not tell where their body
// ends, or whose body has a coding that is not supported. They guard against a
// request that is run although it was hidden in the body of another one, and
// against a body that arrives changed.
#include "http/transfer_coding.h"

#include <gtest/gtest.h>

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "runtime/await.h"
#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

namespace asio = boost::asio;

// Transfer codings after which the end of a body is unknown.
const std::vector<std::string> kInvalidCodings = {
    "identity",          "gzip",        "xchunked",
    "chunked, identity", "chunked;a=b", "",
    "chunked, gzip",     "\"chunked\"", "chunked,",
    "chunked, chunked"};

TransferCoding Read(std::vector<std::string_view> values) {
  return ReadTransferCoding(values);
}

// Guards against a value that is read differently by the next receiver.
TEST(TransferCodingValues, OnlyChunkedAloneFramesABody) {
  EXPECT_EQ(Read({}), TransferCoding::kNone);
  EXPECT_EQ(Read({"chunked"}), TransferCoding::kChunked);
  EXPECT_EQ(Read({" \tChunked "}), TransferCoding::kChunked);
  EXPECT_EQ(Read({"gzip, chunked"}), TransferCoding::kUnsupported);
  EXPECT_EQ(Read({"gzip", "chunked"}), TransferCoding::kUnsupported);
  EXPECT_EQ(Read({"chunked", "gzip"}), TransferCoding::kInvalid);
  EXPECT_EQ(Read({"chunked", "chunked"}), TransferCoding::kInvalid);
  EXPECT_EQ(Read({"\x0b"
                  "chunked"}),
            TransferCoding::kInvalid);
  for (const auto& it : kInvalidCodings) {
    EXPECT_EQ(Read({it}), TransferCoding::kInvalid) << it;
  }
}

// ---- requests

class DoubtfulRequest : public testing::Test {
 protected:
  void SetUp() override { site.Start(); }

  // Sends bytes on a connection of its own and returns all that is received
  // until the server closes it.
  std::string Exchange(const std::string& bytes) {
    asio::ip::tcp::socket socket(Runtime::Get().io());
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address(site.address.ip), site.address.port},
                   ec);
    AwaitIo([&](auto done) {
      asio::async_write(socket, asio::buffer(bytes), done);
    });
    std::string received;
    AwaitIo([&](auto done) {
      asio::async_read(socket, asio::dynamic_buffer(received), done);
    });
    return received;
  }

  // Returns a request in whose body another one is hidden.
  static std::string WithHiddenRequest(const std::string& method,
                                       const std::string& version,
                                       const std::string& framing) {
    return method + " /book/outer HTTP/" + version +
           "\r\nHost: h.example\r\nAttempt-Id: outer\r\n" + framing +
           "\r\n\r\nPOST /book/hidden HTTP/1.1\r\nHost: h.example\r\n"
           "Attempt-Id: hidden\r\nConnection: close\r\n"
           "Content-Length: 0\r\n\r\n";
  }

  void ExpectRefusal(const std::string& request, const std::string& status) {
    const auto received = Exchange(request);
    EXPECT_TRUE(received.starts_with("HTTP/1.1 " + status)) << received;
    EXPECT_EQ(received.find("HTTP/1.1", 1), std::string::npos) << received;
    EXPECT_EQ(site.Runs(), 0U);
  }

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against the request in the body being run.
TEST_F(DoubtfulRequest, IsRefusedAndItsBodyIsNotTakenForARequest) {
  for (const auto& it : kInvalidCodings) {
    SCOPED_TRACE(it);
    const auto framing = "Transfer-Encoding: " + it;
    for (const char* method : {"POST", "GET"}) {
      ExpectRefusal(WithHiddenRequest(method, "1.1", framing), "400");
    }
    ExpectRefusal(WithHiddenRequest("POST", "1.0", framing), "400");
    ExpectRefusal(
        WithHiddenRequest("POST", "1.1", framing + "\r\nExpect: 100-continue"),
        "400");
    ExpectRefusal(
        WithHiddenRequest("POST", "1.1",
                          framing + "\r\nConnection: upgrade\r\nUpgrade: x"),
        "400");
    ExpectRefusal(
        WithHiddenRequest("POST", "1.1", framing + "\r\nContent-Length: 3"),
        "400");
  }
}

// Guards against a body in chunks from a sender whose protocol has none, which
// it may have sent through a proxy that reads another length.
TEST_F(DoubtfulRequest, ChunksOfAnOlderProtocolAreRefused) {
  ExpectRefusal(
      "POST /book/x HTTP/1.0\r\nHost: h.example\r\nAttempt-Id: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "400");
}

// Guards against a body that an endpoint gets compressed and without a header
// that says so.
TEST_F(DoubtfulRequest, UnsupportedCodingIsRefused) {
  ExpectRefusal(
      "POST /book/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\n"
      "Connection: close\r\nTransfer-Encoding: gzip, "
      "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "501");
}

// ---- responses

class DoubtfulResponse : public testing::TestWithParam<std::string> {
 protected:
  std::string Answer() const {
    return "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n"
           "Transfer-Encoding: " +
           GetParam() + "\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  }
};

// Guards against a body that reaches the client with its chunk sizes, or
// compressed, as a whole success.
TEST_P(DoubtfulResponse, IsNotForwarded) {
  auto& site = *new ForwardingSite();
  auto& endpoint = *new RawEndpoint({"", Answer(), ""});
  site.a.advertised_port = endpoint.port();
  site.b.advertised_port = endpoint.port();
  site.Start();
  for (const char* path : {"/book/x", "/read/x", "/stream-once/x"}) {
    const auto response = site.Send(site.Request(path));
    ASSERT_TRUE(response);
    EXPECT_EQ(response.assume_value().status, 502) << path;
  }
}

// Guards against the same on the path of models and services, and in answers of
// the object store.
TEST_P(DoubtfulResponse, FailsTheCallOfAClient) {
  auto& server = *new RawEndpoint({"", Answer(), ""});
  HttpClient client(Runtime::Get().io());
  SteadyClock clock;
  const auto response =
      client.Call({"127.0.0.1", server.port()}, {"GET", "/", {}, ""},
                  {.deadline = clock.Now() + std::chrono::seconds(5)});
  ASSERT_FALSE(response);
  EXPECT_EQ(response.assume_error().verdict, Verdict::kMayHaveRun);
}

INSTANTIATE_TEST_SUITE_P(Codings,
                         DoubtfulResponse,
                         testing::Values("identity",
                                         "gzip",
                                         "xchunked",
                                         "chunked, identity",
                                         "gzip, chunked"));

}  // namespace
}  // namespace tanagerloom
