// Runs a node process with low limits under crowds of clients that send too
// much or never end what they began. Guards against a process that runs out of
// memory or descriptors, and against one that no longer answers others.
#include <gtest/gtest.h>
// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

#include "http/http_client.h"
#include "http/http_responder.h"
#include "runtime/await.h"
#include "runtime/runtime.h"
#include "runtime/steady_clock.h"
#include "testing/fleet_standin/endpoint_standin.h"
#include "testing/fleet_standin/store_standin.h"
#include "testing/harness/node_process.h"
#include "testing/harness/process.h"
#include "testing/harness/wait.h"

namespace tanagerloom {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::NodeProcess;
using testing_support::TestFolder;
using testing_support::WaitUntil;

// Limits in the settings of the node. The platform kills a process that exceeds
// the memory, and keeps the given number of descriptors for files.
constexpr int kMemoryMb = 96;
constexpr int kMaxFds = 400;
constexpr int kFdsForFiles = 200;
constexpr std::size_t kMaxBodyBytes = 1024UL * 1024;
// A crowd whose legal bodies are over twice the memory together, on more
// connections than the node may have descriptors for sockets.
constexpr int kCrowdSize = 240;
// Every such client ends its body and takes its answer.
constexpr int kCompleteEvery = 8;
constexpr std::size_t kMb = 1024UL * 1024;

// How the clients of a crowd send their bodies.
struct Crowd {
  const char* name;
  std::size_t body_bytes;
  std::size_t chunk_bytes = 0;  ///< 0: the length is announced.
  std::size_t piece_bytes = 0;  ///< Bytes a write; 0: all in one.
};

// Returns the bytes of a body as they are sent, with its end.
std::string Encode(const Crowd& crowd) {
  std::string body(crowd.body_bytes, 'b');
  if (crowd.chunk_bytes == 0) {
    return body;
  }
  std::ostringstream out;
  out << std::hex;
  for (std::size_t at = 0; at < body.size(); at += crowd.chunk_bytes) {
    const auto n = std::min(crowd.chunk_bytes, body.size() - at);
    out << n << "\r\n" << std::string_view(body).substr(at, n) << "\r\n";
  }
  out << "0\r\n\r\n";
  return out.str();
}

// A client that writes its request without ever reading.
class CrowdClient {
 public:
  CrowdClient(const Crowd& crowd, const std::string& body, bool completes)
      : crowd_(crowd),
        // The end of a chunked body is longer than this.
        bytes_(body.data(), body.size() - (completes ? 0 : 1)) {}

  void Run(const Address& to, int number) {
    boost::system::error_code ec;
    const tcp::endpoint remote(asio::ip::make_address(to.ip), to.port);
    ec = AwaitIo([&](auto done) { socket_.async_connect(remote, done); }).ec;
    std::string head =
        "POST /book/x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 60000\r\n"
        "Attempt-Id: crowd-" +
        std::to_string(number) + "\r\n" +
        (crowd_.chunk_bytes == 0
             ? "Content-Length: " + std::to_string(crowd_.body_bytes)
             : "Transfer-Encoding: chunked") +
        "\r\n\r\n";
    if (!ec) {
      ec = Write(head);
    }
    const auto piece =
        crowd_.piece_bytes == 0 ? bytes_.size() : crowd_.piece_bytes;
    while (!ec && !bytes_.empty()) {
      const auto n = std::min(piece, bytes_.size());
      ec = Write(bytes_.substr(0, n));
      bytes_.remove_prefix(n);
      boost::this_fiber::yield();
    }
    sent_all_ = true;
  }

  void Close() {
    boost::system::error_code ec;
    socket_.close(ec);
  }

  std::size_t written() const { return written_; }
  /// Whether it has written all it wants, or its connection is closed.
  bool sent_all() const { return sent_all_; }

 private:
  boost::system::error_code Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const auto result = AwaitIo([&](auto done) {
        socket_.async_write_some(asio::buffer(bytes.data(), bytes.size()),
                                 done);
      });
      if (result.ec) {
        return result.ec;
      }
      written_ += result.bytes_transferred;
      bytes.remove_prefix(result.bytes_transferred);
    }
    return {};
  }

  const Crowd& crowd_;
  std::string_view bytes_;
  tcp::socket socket_{Runtime::Get().io()};
  std::size_t written_ = 0;
  bool sent_all_ = false;
};

nlohmann::json ConfigJson() {
  return {{"version", 1},
          {"routes",
           {{{"name", "book"},
             {"host", "h.example"},
             {"pathPrefix", "/book/"},
             {"kind", "non_idempotent"},
             {"timeoutMs", 60000},
             {"goalMs", 1000},
             {"service", "desk"},
             {"maxAttempts", 1}}}},
          {"services", {{{"name", "desk"}}}},
          {"limits", {{"maxBodyBytes", kMaxBodyBytes}}}};
}

class HostileClients : public testing::TestWithParam<Crowd> {
 protected:
  void SetUp() override {
    store.Set("config", "main", ConfigJson());
    endpoint.Register();
    ASSERT_TRUE(WaitUntil([&] { return node.IsReady(); }));
    pid = node.process().pid();
  }

  void TearDown() override {
    for (auto& it : clients) {
      it->Close();
    }
    for (auto& it : fibers) {
      it.join();
    }
  }

  // Lets the crowd send what it wants to. Returns when no client gets any
  // further.
  void SendCrowd() {
    body = Encode(GetParam());
    for (int i = 0; i < kCrowdSize; ++i) {
      clients.push_back(std::make_unique<CrowdClient>(
          GetParam(), body, i % kCompleteEvery == kCompleteEvery - 1));
      fibers.emplace_back(
          [this, &it = *clients.back(), i] { it.Run(node.front(), i); });
    }
    std::size_t written = 0;
    auto changed_at = clock.Now();
    // A node that does not read keeps its clients from writing, so the end is
    // known only by the lack of progress.
    WaitUntil(
        [&] {
          Sample();
          std::size_t now = 0;
          bool all = true;
          for (const auto& it : clients) {
            now += it->written();
            all = all && it->sent_all();
          }
          if (now != written) {
            written = now;
            changed_at = clock.Now();
          }
          return all || clock.Now() - changed_at > seconds(3) ||
                 !node.process().IsRunning();
        },
        seconds(60));
    Sample();
  }

  // Returns the number in a line of /proc/PID/status, in KiB.
  std::size_t StatusKb(const std::string& field) const {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.starts_with(field + ":")) {
        return std::stoul(line.substr(field.size() + 1));
      }
    }
    return 0;
  }

  // Takes the open descriptors of the node into account.
  void Sample() {
    int n = 0;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator(
             "/proc/" + std::to_string(pid) + "/fd", ec)) {
      std::error_code link_ec;
      const auto target = std::filesystem::read_symlink(it.path(), link_ec);
      n += target.string().starts_with("socket:") ? 1 : 0;
    }
    most_sockets = std::max(most_sockets, n);
  }

  // Sends a request as a client that comes again after a refusal or a closed
  // connection. Returns the status of the first answer that is neither, or of
  // the last one.
  int Book(std::size_t body_bytes) {
    int status = 0;
    WaitUntil([&] {
      HttpRequest request{"POST", "/book/x", {}, std::string(body_bytes, 'o')};
      request.headers = {{"Host", "h.example"},
                         {"Attempt-Id", "o-" + std::to_string(++sent)},
                         {"Deadline-Ms", "10000"}};
      const auto answer = client.Call(
          node.front(), request,
          {.deadline = clock.Now() + seconds(10), .fresh_connection = true});
      status = answer ? answer.assume_value().status : 0;
      return status == 200 || !node.process().IsRunning();
    });
    return status;
  }

  void ExpectWithinLimits() {
    ASSERT_TRUE(node.process().IsRunning());
    const auto peak_kb = StatusKb("VmHWM");
    RecordProperty("peak_kb", std::to_string(peak_kb));
    EXPECT_LE(peak_kb * 1024, kMemoryMb * kMb);
    EXPECT_LE(most_sockets, kMaxFds - kFdsForFiles);
  }

  SteadyClock clock;
  HttpClient client{Runtime::Get().io()};
  TestFolder folder;
  // Leaked, since the fibers of their servers run until the process ends.
  StoreStandin& store = *new StoreStandin();
  EndpointStandin& endpoint = *new EndpointStandin(store, "i-0", "desk");
  NodeProcess node{folder.path(),
                   "node-0",
                   store.address(),
                   50,
                   {kMemoryMb, kMaxFds}};
  pid_t pid = 0;
  std::string body;
  std::vector<std::unique_ptr<CrowdClient>> clients;
  std::vector<boost::fibers::fiber> fibers;
  int most_sockets = 0;
  int sent = 0;
};

// Guards against a node that ends, or exceeds its limits, when clients send
// more than it can hold and stay, and against one that answers nobody else
// then.
TEST_P(HostileClients, LeaveTheNodeWithinItsLimitsAndServing) {
  SendCrowd();
  ExpectWithinLimits();
  EXPECT_EQ(Book(100), 200);
  for (auto& it : clients) {
    it->Close();
  }
  EXPECT_EQ(Book(kMaxBodyBytes), 200);
  ExpectWithinLimits();
}

INSTANTIATE_TEST_SUITE_P(
    Crowds,
    HostileClients,
    testing::Values(Crowd{"FarTooLongAnnounced", 16 * kMaxBodyBytes, 0,
                          64UL * 1024},
                    Crowd{"FarTooLongInChunks", 4 * kMaxBodyBytes, 64UL * 1024,
                          64UL * 1024},
                    Crowd{"LegalInOneWrite", kMaxBodyBytes},
                    Crowd{"LegalPieceByPiece", kMaxBodyBytes, 0, 16UL * 1024},
                    Crowd{"LargeChunks", kMaxBodyBytes, 256UL * 1024, 0},
                    Crowd{"SmallChunks", kMaxBodyBytes, 8, 16UL * 1024}),
    [](const auto& it) { return it.param.name; });

}  // namespace
}  // namespace tanagerloom
