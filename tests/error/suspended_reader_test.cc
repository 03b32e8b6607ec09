// Tests of a process that is suspended while input arrives and a timeout of the
// same operation passes. They guard against input that is read and then
// dropped, against writes that are reported as failed, and against operations
// whose timeout is lost.
#include <gtest/gtest.h>

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <thread>
#include <vector>

#include "http/http_connection.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "tests/support/raw_endpoint.h"

namespace tanagerloom {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kShortTimeout{40};
constexpr milliseconds kPieceDelay{100};
constexpr milliseconds kSuspension{400};

// Blocks the runtime's thread, as a suspension of the process does.
void Suspend() {
  std::this_thread::sleep_for(kSuspension);
}

// ---- responses

// A server on a thread of its own, which goes on while the runtime is blocked.
// It sends the first part of its response at once and the others at intervals.
class DelayedServer {
 public:
  explicit DelayedServer(std::vector<std::string> parts)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this, parts = std::move(parts)] { Serve(parts); }) {}
  ~DelayedServer() { thread_.join(); }

  Address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  // Blocks the calling thread until `n` parts are sent, and so have arrived.
  void BlockUntilSent(std::size_t n) const {
    constexpr int kMaxChecks = 2000;
    for (int i = 0; i < kMaxChecks && sent_ < n; ++i) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

 private:
  void Serve(const std::vector<std::string>& parts) {
    tcp::socket socket(io_);
    acceptor_.accept(socket);
    asio::streambuf request;
    boost::system::error_code ec;
    asio::read_until(socket, request, "\r\n\r\n", ec);
    for (const auto& it : parts) {
      asio::write(socket, asio::buffer(it), ec);
      ++sent_;
      std::this_thread::sleep_for(kPieceDelay);
    }
    socket.shutdown(tcp::socket::shutdown_send, ec);
  }

  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<std::size_t> sent_ = 0;  ///< Number of parts.
  std::thread thread_;
};

// The parts of one response that arrive before, and during, a suspension.
struct DelayedResponse {
  const char* name;
  std::vector<std::string> parts;
  std::string body;
};

class SuspendedReader : public testing::TestWithParam<DelayedResponse> {
 protected:
  HttpResult<void> Send(TimePoint deadline) {
    return connection.Send({"GET", "/", {}, ""}, {.deadline = deadline});
  }

  // Reads to the end of the body; reads that time out are repeated.
  std::string ReadBody() {
    std::string body;
    const auto end = clock.Now() + seconds(5);
    while (clock.Now() < end) {
      const auto n = connection.ReadSome(body, clock.Now() + kShortTimeout);
      if (n && n.assume_value() == 0) {
        return body;
      }
      if (!n && n.assume_error().error.kind != ErrorKind::kTimeout) {
        return body + " (" + n.assume_error().error.message + ")";
      }
    }
    return body + " (no end)";
  }

  SteadyClock clock;
  DelayedServer server{GetParam().parts};
  HttpConnection connection{Runtime::Get().io(), server.address()};
};

// Guards against a body from which the part that arrived while the process was
// suspended is missing.
TEST_P(SuspendedReader, BodyIsWhole) {
  ASSERT_TRUE(connection.Connect(clock.Now() + seconds(1)));
  ASSERT_TRUE(Send(clock.Now() + seconds(5)));
  boost::fibers::fiber suspension([] {
    boost::this_fiber::sleep_for(kShortTimeout / 2);
    Suspend();
  });
  EXPECT_EQ(ReadBody(), GetParam().body);
  suspension.join();
}

// Guards against a response that is dropped although it had arrived before the
// process noticed that its deadline had passed.
TEST_P(SuspendedReader, ResponseThatArrivedBeforeItsTimeoutWasNoticedIsRead) {
  ASSERT_TRUE(connection.Connect(clock.Now() + seconds(1)));
  boost::fibers::fiber suspension([this] {
    Suspend();
    server.BlockUntilSent(1);
  });
  const auto deadline = clock.Now() + kSuspension / 2;
  const auto sent = Send(deadline);
  suspension.join();
  ASSERT_TRUE(sent) << sent.assume_error().error.message;
  // By then everything has arrived; the deadline does not move.
  Suspend();
  server.BlockUntilSent(GetParam().parts.size());
  std::string body;
  while (true) {
    const auto n = connection.ReadSome(body, deadline);
    ASSERT_TRUE(n) << n.assume_error().error.message;
    if (n.assume_value() == 0) {
      break;
    }
  }
  EXPECT_EQ(body, GetParam().body);
}

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Responses,
    SuspendedReader,
    testing::Values(DelayedResponse{"WithoutLength",
                                    {kHead + "\r\none ", "two ", "three"},
                                    "one two three"},
                    DelayedResponse{"WithLength",
                                    {kHead + "Content-Length: 13\r\n\r\none ",
                                     "two ", "three"},
                                    "one two three"},
                    DelayedResponse{"ChunksInParts",
                                    {kChunkedHead + "8\r\none ",
                                     "two \r\n5\r\nth", "ree\r\n0\r\n\r\n"},
                                    "one two three"},
                    DelayedResponse{
                        "WholeChunks",
                        {kChunkedHead + "4\r\none \r\n", "4\r\ntwo \r\n",
                         "5\r\nthree\r\n0\r\n\r\n"},
                        "one two three"}),
    [](const auto& it) { return it.param.name; });

// Guards against a head that is awaited without end if a part of it arrives as
// the timeout expires.
TEST(SuspendedHeadReader, TimeoutIsNotLostWhenAPartArrives) {
  SteadyClock clock;
  // The connection stays open for long after the timeout.
  std::vector<std::string> parts(30);
  parts[0] = "HTTP/1.1 200";
  parts[1] = " OK";
  parts[2] = "\r\n";
  DelayedServer server(parts);
  HttpConnection connection(Runtime::Get().io(), server.address());
  ASSERT_TRUE(connection.Connect(clock.Now() + seconds(1)));
  boost::fibers::fiber suspension([] { Suspend(); });
  const auto started = clock.Now();
  const auto sent = connection.Send({"GET", "/", {}, ""},
                                    {.deadline = started + kShortTimeout});
  EXPECT_LT(clock.Now() - started, seconds(2));
  suspension.join();
  ASSERT_FALSE(sent);
  EXPECT_EQ(sent.assume_error().error.kind, ErrorKind::kTimeout);
}

// Guards against a sender without end that is read beyond the deadline.
TEST(SuspendedBodyReader, InputWithoutEndIsLeftAtTheDeadline) {
  SteadyClock clock;
  // Leaked, since its fibers run until the process ends.
  auto& endless =
      *new RawEndpoint({"", kHead + "\r\n", std::string(4000, 'a')});
  HttpConnection connection(Runtime::Get().io(), {"127.0.0.1", endless.port()});
  ASSERT_TRUE(connection.Connect(clock.Now() + seconds(1)));
  ASSERT_TRUE(connection.Send(
      {"GET", "/", {}, ""},
      {.deadline = clock.Now() + seconds(5), .max_body_bytes = UINT64_MAX}));
  const auto deadline = clock.Now() + kShortTimeout;
  std::string body;
  while (connection.ReadSome(body, deadline)) {
    body.clear();
    ASSERT_LT(clock.Now(), deadline + seconds(1));
  }
}

// ---- requests

// A client on a thread of its own, which sends parts of requests at intervals
// and reads until the server closes the connection.
class DelayedClient {
 public:
  DelayedClient(Address server, std::vector<std::string> parts)
      : thread_(
            [this, server, parts = std::move(parts)] { Run(server, parts); }) {}

  // Waits until the connection is closed and returns what was received.
  std::string Received() {
    while (!done_) {
      boost::this_fiber::sleep_for(milliseconds(5));
    }
    thread_.join();
    return received_;
  }

 private:
  void Run(const Address& server, const std::vector<std::string>& parts) {
    asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address(server.ip), server.port}, ec);
    for (const auto& it : parts) {
      asio::write(socket, asio::buffer(it), ec);
      std::this_thread::sleep_for(kPieceDelay);
    }
    char buf[4096];
    while (!ec) {
      const auto n = socket.read_some(asio::buffer(buf), ec);
      received_.append(buf, n);
    }
    done_ = true;
  }

  std::string received_;
  std::atomic<bool> done_ = false;
  std::thread thread_;
};

class SuspendedServer : public testing::Test {
 protected:
  Address Serve(const HttpServerLimits& limits, HttpServer::Handler handler) {
    // Leaked, since its fibers run until the process ends.
    auto& server =
        *new HttpServer(Runtime::Get().io(), limits, std::move(handler));
    return server.Listen({"127.0.0.1", 0}).value();
  }
};

const std::string kRequest =
    "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

// Guards against a request on a kept connection that is read and then dropped,
// because the connection's idle timeout expired at the same moment.
TEST_F(SuspendedServer, RequestThatArrivesAtTheIdleTimeoutIsAnswered) {
  HttpServerLimits limits;
  limits.idle_timeout = kSuspension / 2;
  bool suspended = false;
  const auto address =
      Serve(limits, [&](const HttpRequest&, HttpResponder& responder) {
        (void)responder.Send({200, {}, "served"});
        if (!std::exchange(suspended, true)) {
          // Blocks once the connection is idle.
          boost::fibers::fiber([] {
            boost::this_fiber::sleep_for(milliseconds(5));
            Suspend();
          }).detach();
        }
      });
  DelayedClient client(address, {kRequest, kRequest});
  const auto received = client.Received();
  const auto first = received.find("served");
  ASSERT_NE(first, std::string::npos);
  EXPECT_NE(received.find("served", first + 1), std::string::npos) << received;
}

// Guards against a response that is broken off although its client has taken
// it, because the write timeout expired while the process was suspended.
TEST_F(SuspendedServer, WriteThatWasCompleteBeforeItsTimeoutSucceeds) {
  HttpServerLimits limits;
  limits.write_timeout = kShortTimeout;
  bool client_gone = false;
  const auto address =
      Serve(limits, [&](const HttpRequest&, HttpResponder& responder) {
        responder.OnClientGone([&] { client_gone = true; });
        const auto suspended = [](auto write) {
          boost::fibers::fiber suspension(&Suspend);
          const bool written = write().has_value();
          suspension.join();
          return written;
        };
        EXPECT_TRUE(suspended([&] { return responder.StartStream(200, {}); }));
        EXPECT_TRUE(suspended([&] { return responder.Write("one"); }));
        EXPECT_TRUE(suspended([&] { return responder.Finish(); }));
      });
  DelayedClient client(
      address, {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"});
  const auto received = client.Received();
  EXPECT_NE(received.find("3\r\none\r\n0\r\n\r\n"), std::string::npos)
      << received;
  EXPECT_FALSE(client_gone);
}

}  // namespace
}  // namespace tanagerloom
