// Tests of endpoints that send bytes without end, in a head or a body, until
// the connection is closed. They guard against a node that runs out of memory,
// that keeps such a request beyond its time, or that fails other requests.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>

#include "tests/support/forwarding_site.h"
#include "tests/support/raw_endpoint.h"
#include "tests/support/resident_memory.h"

namespace tanagerloom {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kBlock(4000, 'a');
const std::string kSealed =
    "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nResponse-Seal: seal\r\n";
const std::string kChunked = kSealed + "Transfer-Encoding: chunked\r\n\r\n";

class EndlessAnswers : public testing::TestWithParam<RawAnswer> {
 protected:
  static constexpr int kRequests = 12;
  // Half of the memory of the smallest VM.
  static constexpr std::size_t kMaxGrowthBytes = 80UL * 1024 * 1024;
  // Timeout of the routes, with time for a busy machine.
  static constexpr milliseconds kMaxDuration{4000};

  // Sends requests at the same time and returns their statuses; 0 for one whose
  // connection was broken off.
  std::vector<int> SendAll(const std::string& path) {
    std::vector<int> out(kRequests);
    std::vector<boost::fibers::fiber> fibers;
    for (auto& it : out) {
      fibers.emplace_back([&, path] {
        auto request = site.Request(path);
        const auto response = site.Send(request);
        it = response ? response.assume_value().status : 0;
        peak_bytes = std::max(peak_bytes, ResidentBytes());
      });
    }
    for (auto& it : fibers) {
      it.join();
    }
    return out;
  }

  // Lets the first endpoint send the endless answer.
  void SetUp() override {
    site.a.advertised_port = endless.port();
    site.Start();
  }

  ForwardingSite& site = *new ForwardingSite();
  RawEndpoint& endless = *new RawEndpoint(GetParam());
  std::size_t peak_bytes = 0;
};

TEST_P(EndlessAnswers, EndInTimeAndWithoutHurtingOtherRequests) {
  const auto before = ResidentBytes();
  const auto start = site.clock.Now();
  // These may run again at the sound endpoint.
  for (const int status : SendAll("/read/x")) {
    EXPECT_EQ(status, 200);
  }
  // These run once; none may look like a success of the endless endpoint.
  const auto stream_bodies = SendAll("/stream-once/x");
  for (const int status : stream_bodies) {
    EXPECT_TRUE(status == 200 || status == 0 || status == 502 || status == 504)
        << status;
  }
  EXPECT_GE(endless.requests(), 1);
  EXPECT_LT(site.clock.Now() - start, 2 * kMaxDuration);
  EXPECT_LT(peak_bytes, before + kMaxGrowthBytes);
  EXPECT_TRUE(testing_support::WaitUntil(
      [&] { return endless.open_connections() == 0; }));
  EXPECT_EQ(site.buffers.used_bytes(), 0U);
  // The endpoint counts as failing.
  EXPECT_GT(site.view.Health("i-a").FailureRate(site.clock.Now()), 0);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    EndlessAnswers,
    testing::Values(
        RawAnswer{"HeaderFields", "HTTP/1.1 200 OK\r\n",
                  "X-Field: " + kBlock + "\r\n"},
        RawAnswer{"HeaderLine", "HTTP/1.1 200 OK\r\nX-Field: ", kBlock},
        RawAnswer{"NoAnswer", "\x01\x02", kBlock},
        RawAnswer{"InformationalAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        RawAnswer{"ChunkedBody", kChunked, "fa0\r\n" + kBlock + "\r\n"},
        RawAnswer{"BodyWithoutLength", kSealed + "\r\n", kBlock},
        RawAnswer{"LongBody", kSealed + "Content-Length: 9000000000000\r\n\r\n",
                  kBlock},
        RawAnswer{"ChunkExtension", kChunked + "5;x=", kBlock},
        RawAnswer{"Trailers", kChunked + "0\r\n",
                  "X-Field: " + kBlock + "\r\n"},
        RawAnswer{
            "Event",
            kSealed + "Content-Type: text/event-stream\r\n\r\ndata: ", kBlock}),
    [](const auto& info) { return std::string(info.param.name); });

// Guards against a client whose chunk extension never ends: the node would keep
// all of it until the request times out.
TEST(EndlessRequest, ChunkExtensionIsRefused) {
  auto& site = *new ForwardingSite();
  site.Start();
  asio::ip::tcp::socket socket(Runtime::Get().io());
  const asio::ip::tcp::endpoint node(asio::ip::make_address("127.0.0.1"),
                                     site.address.port);
  ASSERT_FALSE(
      AwaitIo([&](auto done) { socket.async_connect(node, done); }).ec);
  std::string next =
      "POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: id-1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5;x=";
  // The server reads on for a while after its refusal, without keeping the
  // bytes, so that the client can receive it.
  constexpr std::size_t kMaxAcceptedBytes = 128UL * 1024 * 1024;
  constexpr std::size_t kMaxKeptBytes = 16UL * 1024 * 1024;
  const auto before = ResidentBytes();
  std::size_t sent = 0;
  while (sent < kMaxAcceptedBytes) {
    const auto written = AwaitIo([&](auto done) {
      asio::async_write(socket, asio::buffer(next), done);
    });
    if (written.ec) {
      break;
    }
    sent += next.size();
    next = kBlock;
  }
  EXPECT_LT(sent, kMaxAcceptedBytes);
  EXPECT_LT(ResidentBytes(), before + kMaxKeptBytes);
  EXPECT_EQ(site.Send(site.Request("/read/x")).assume_value().status, 200);
}

// Guards against a budget that one response uses up, or that is not returned.
TEST(BufferBudget, LimitsEachShareAndTheSum) {
  BufferBudget budget(800);
  BufferShare a(budget);
  EXPECT_TRUE(a.Resize(100));
  EXPECT_FALSE(a.Resize(101));
  std::vector<std::unique_ptr<BufferShare>> others;
  for (int i = 0; i < 7; ++i) {
    others.push_back(std::make_unique<BufferShare>(budget));
    EXPECT_TRUE(others.back()->Resize(100));
  }
  BufferShare b(budget);
  EXPECT_FALSE(b.Resize(1));
  others.pop_back();
  EXPECT_TRUE(b.Resize(100));
  EXPECT_TRUE(a.Resize(50));
  EXPECT_EQ(budget.used_bytes(), 750U);
}

}  // namespace
}  // namespace tanagerloom
