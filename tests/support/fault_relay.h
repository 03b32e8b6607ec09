// Defines FaultRelay, a TCP relay inside a test process that cuts connections
// or lets them go silent, in one direction or both.
#ifndef TESTS_SUPPORT_FAULT_RELAY_H_
#define TESTS_SUPPORT_FAULT_RELAY_H_

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <memory>
#include <vector>

#include "runtime/await.h"
#include "runtime/runtime.h"

namespace tanagerloom {

/// Relays connections to one port of loopback. Lives until the process ends,
/// because its fibers do.
class FaultRelay {
 public:
  explicit FaultRelay(std::uint16_t target)
      : target_(target),
        acceptor_(Runtime::Get().io(),
                  {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    port_ = acceptor_.local_endpoint().port();
    boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  }

  std::uint16_t port() const { return port_; }

  /// Swallows what open connections carry; later connections work.
  void Silence(bool toward_target, bool toward_client) {
    for (const auto& it : pairs_) {
      it->silent = {it->silent[0] || toward_target,
                    it->silent[1] || toward_client};
    }
  }

  /// Holds back everything while set; afterwards it is delivered, as by a peer
  /// that was paused.
  void SetHeld(bool held) { held_ = held; }

  /// Closes all connections, and those made while `cut` is set.
  void SetCut(bool cut) {
    cut_ = cut;
    for (const auto& it : pairs_) {
      it->Close();
    }
    pairs_.clear();
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  struct Pair {
    Pair(Socket a, Socket b) : client(std::move(a)), server(std::move(b)) {}
    void Close() {
      boost::system::error_code ec;
      client.close(ec);
      server.close(ec);
    }
    Socket client;
    Socket server;
    std::array<bool, 2> silent{};
  };

  void AcceptLoop() {
    while (true) {
      Socket client(Runtime::Get().io());
      const auto result =
          AwaitIo([&](auto done) { acceptor_.async_accept(client, done); });
      Socket server(Runtime::Get().io());
      boost::system::error_code ec = result.ec;
      if (!ec && !cut_) {
        server.connect({boost::asio::ip::make_address("127.0.0.1"), target_},
                       ec);
      }
      if (ec || cut_) {
        continue;
      }
      auto pair = std::make_shared<Pair>(std::move(client), std::move(server));
      pairs_.push_back(pair);
      Pump(pair, pair->client, pair->server, 0);
      Pump(pair, pair->server, pair->client, 1);
    }
  }

  void Pump(const std::shared_ptr<Pair>& pair,
            Socket& from,
            Socket& to,
            std::size_t direction) {
    boost::fibers::fiber([this, pair, &from, &to, direction] {
      char buf[16384];
      while (true) {
        const auto read = AwaitIo([&](auto done) {
          from.async_read_some(boost::asio::buffer(buf), done);
        });
        while (held_) {
          boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
        }
        if (read.ec) {
          // A silent direction swallows the end of the stream as well.
          if (!pair->silent[direction]) {
            pair->Close();
          }
          return;
        }
        if (pair->silent[direction]) {
          continue;
        }
        const auto written = AwaitIo([&](auto done) {
          boost::asio::async_write(
              to, boost::asio::buffer(buf, read.bytes_transferred), done);
        });
        if (written.ec) {
          pair->Close();
          return;
        }
      }
    }).detach();
  }

  std::uint16_t target_;
  std::uint16_t port_ = 0;
  bool cut_ = false;
  bool held_ = false;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Pair>> pairs_;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_FAULT_RELAY_H_
