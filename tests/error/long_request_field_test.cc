// Tests of clients that send a header field or a trailer field which is longer
// than the HTTP library can keep. They guard against a node that ends while it
// reads one: all its other clients lose their requests then.
#include <gtest/gtest.h>

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "runtime/await.h"
#include "tests/support/forwarding_site.h"

namespace tanagerloom {
namespace {

namespace asio = boost::asio;

// More than the library can keep of a field, and less than the input that a
// connection keeps.
const std::string kLongText(70'000, 'r');
// What a connection of a client sends before a trailer: a body of two bytes.
const std::string kChunkedRequest =
    "POST /book/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
    "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n";

class LongRequestField : public testing::Test {
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

  ForwardingSite& site = *new ForwardingSite();
};

// Guards against the end of a node over a trailer. The request before it is
// whole, so it is served.
TEST_F(LongRequestField, InATrailerIsDropped) {
  for (const auto& it : {"X-Rest: " + kLongText, kLongText + ": rest",
                         "X-Rest: 1\r\nX-Rest: " + kLongText}) {
    const auto received = Exchange(kChunkedRequest + it + "\r\n\r\n");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << received.substr(0, 99);
  }
  EXPECT_EQ(site.Runs(), 3U);
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
}

// Guards against a trailer that a node or an endpoint takes for a header field,
// such as an identifier or a key of somebody else.
TEST_F(LongRequestField, OfATrailerIsNoPartOfTheHeader) {
  HttpRequest seen;
  site.SetServe([&](const HttpRequest& request, HttpResponder& responder) {
    seen = request;
    (void)responder.Send({200, {{"Response-Seal", "seal"}}, "ok"});
  });
  Exchange(kChunkedRequest + "Model: other\r\nAttempt-Id: id-2\r\n\r\n");
  const auto& headers = seen.headers;
  EXPECT_EQ(headers.Find("Attempt-Id"), "id-1");
  EXPECT_EQ(headers.FindAll("Attempt-Id").size(), 1U);
  EXPECT_FALSE(headers.Find("Model"));
}

// Guards against the end of a node whose configuration allows a larger header
// than one field can be.
TEST_F(LongRequestField, InAHeaderIsRefused) {
  HttpServerLimits limits;
  limits.max_header_bytes = 128 * 1024;
  site.server.SetLimits(limits);
  for (const auto& it : {"X-Field: " + kLongText, kLongText + ": value"}) {
    const auto received = Exchange(
        "POST /book/x HTTP/1.1\r\nHost: h.example\r\n"
        "Attempt-Id: id-1\r\n" +
        it + "\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 431")) << received.substr(0, 99);
  }
  EXPECT_EQ(site.Runs(), 0U);
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
}

}  // namespace
}  // namespace tanagerloom
