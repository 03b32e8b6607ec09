// Tests of servers that send bytes without end to a node that calls them
// itself: engines, the object store, and endpoints of the product's own
// interface. They guard against a node that runs out of memory, since all its
// clients lose their requests then.
#include <gtest/gtest.h>

#include <boost/fiber/fiber.hpp>
#include <functional>

#include "http/http_client.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"
#include "runtime/steady_clock.h"
#include "tests/support/raw_endpoint.h"
#include "tests/support/resident_memory.h"

namespace tanagerloom {
namespace {

using std::chrono::seconds;

const std::string kBlock(16000, 'a');
const std::string kHead = "HTTP/1.1 200 OK\r\n";

class EndlessCalls : public testing::TestWithParam<RawAnswer> {
 protected:
  // Half of the memory of the smallest VM.
  static constexpr std::size_t kMaxGrowthBytes = 80UL * 1024 * 1024;
  // What such a VM's node gives to the calls of one client.
  static constexpr std::size_t kBufferBytes = 32UL * 1024 * 1024;

  // Runs `call` a number of times at once and returns by how many bytes the
  // process grew at most.
  std::size_t PeakGrowth(int calls, const std::function<void()>& call) {
    const auto before = ResidentBytes();
    int running = calls;
    for (int i = 0; i < calls; ++i) {
      boost::fibers::fiber([&] {
        call();
        --running;
      }).detach();
    }
    std::size_t peak = before;
    while (running > 0) {
      clock.SleepFor(std::chrono::milliseconds(1));
      peak = std::max(peak, ResidentBytes());
    }
    return peak - before;
  }

  SteadyClock clock;
  // Leaked, since its fibers run until the process ends.
  RawEndpoint& endless = *new RawEndpoint(GetParam());
  Address address{"127.0.0.1", endless.port()};
  HttpClient client{Runtime::Get().io(), kBufferBytes};
};

// Guards against reports of engines that use up the memory.
TEST_P(EndlessCalls, ReportsOfEngines) {
  constexpr int kEngines = 50;
  platform::EngineClient engines(client, clock);
  EXPECT_LT(
      PeakGrowth(kEngines, [&] { EXPECT_FALSE(engines.ReadState(address)); }),
      kMaxGrowthBytes);
  EXPECT_EQ(client.buffered_bytes(), 0U);
}

// Guards against answers of the object store that use up the memory.
TEST_P(EndlessCalls, AnswersOfTheStore) {
  constexpr int kCalls = 8;
  platform::StoreClient store(client, clock, address);
  EXPECT_LT(
      PeakGrowth(kCalls,
                 [&] { EXPECT_FALSE(store.ReadAll("servers", Freshness())); }),
      kMaxGrowthBytes);
  EXPECT_EQ(client.buffered_bytes(), 0U);
}

// Guards against responses that a caller of the client collects by itself, as
// the paths of models and services do.
TEST_P(EndlessCalls, ResponsesReadInParts) {
  constexpr int kCalls = 30;
  const auto growth = PeakGrowth(kCalls, [&] {
    const auto deadline = clock.Now() + seconds(3);
    auto exchange =
        client.Start(address, {"GET", "/", {}, ""}, {.deadline = deadline});
    std::string body;
    while (exchange &&
           exchange.assume_value()->ReadSome(body, deadline).has_value()) {
    }
  });
  EXPECT_LT(growth, kMaxGrowthBytes);
  EXPECT_EQ(client.buffered_bytes(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Answers,
    EndlessCalls,
    testing::Values(RawAnswer{"Header", kHead + "X-Field: ", kBlock},
                    RawAnswer{"NoAnswer", "\x01\x02", kBlock},
                    RawAnswer{"ChunkedBody",
                              kHead + "Transfer-Encoding: chunked\r\n\r\n",
                              "3e80\r\n" + kBlock + "\r\n"},
                    RawAnswer{"BodyWithoutLength", kHead + "\r\n", kBlock},
                    RawAnswer{"LongBody",
                              kHead + "Content-Length: 9000000000000\r\n\r\n",
                              kBlock}),
    [](const auto& it) { return std::string(it.param.name); });

// Guards against a budget that a sound response takes from the others.
TEST(BufferedCalls, SoundResponseIsReadBesideEndlessOnes) {
  SteadyClock clock;
  auto& endless = *new RawEndpoint({"", kHead + "\r\n", kBlock});
  auto& sound = *new RawEndpoint(
      {"", kHead + "Content-Length: 16000\r\n\r\n" + kBlock, ""});
  HttpClient client(Runtime::Get().io(), 32UL * 1024 * 1024);
  const HttpCallOptions options{.deadline = clock.Now() + seconds(5)};
  std::vector<boost::fibers::fiber> calls;
  for (int i = 0; i < 3; ++i) {
    calls.emplace_back([&] {
      EXPECT_FALSE(client.Call({"127.0.0.1", endless.port()},
                               {"GET", "/", {}, ""}, options));
    });
  }
  const auto response =
      client.Call({"127.0.0.1", sound.port()}, {"GET", "/", {}, ""}, options);
  EXPECT_TRUE(response);
  for (auto& it : calls) {
    it.join();
  }
}

}  // namespace
}  // namespace tanagerloom
