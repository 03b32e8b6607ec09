// Defines FaultRelay, a TCP relay within a test process. It closes connections,
// pauses them or makes them silent, so that tests can inject network faults.
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
#include <chrono>
#include <memory>
#include <string_view>
#include <vector>

#include "runtime/await.h"
#include "runtime/runtime.h"

namespace tanagerloom {

/// Relays connections to one loopback port. Tests leak it, because its fibers
/// run until the process ends.
class FaultRelay {
 public:
  explicit FaultRelay(std::uint16_t target_port)
      : target_port_(target_port),
        acceptor_(Runtime::Get().io(),
                  {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    port_ = acceptor_.local_endpoint().port();
    boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  }

  std::uint16_t port() const { return port_; }

  /// Discards the data of open connections in the given directions, including
  /// the end of the stream. Connections opened later work.
  void Silence(bool to_target, bool to_client) {
    for (const auto& it : connections_) {
      it->silent = {it->silent[0] || to_target, it->silent[1] || to_client};
    }
  }

  /// Holds back all data while set and delivers it afterwards, as a peer does
  /// whose process was paused.
  void SetPaused(bool paused) { paused_ = paused; }

  /// Delivers each block of data in two parts, this long apart.
  void SetSplitDelay(std::chrono::milliseconds delay) { split_delay_ = delay; }

  /// Closes all connections. While set, closes each new one as well.
  void SetDisconnected(bool disconnected) {
    disconnected_ = disconnected;
    for (const auto& it : connections_) {
      it->Close();
    }
    connections_.clear();
  }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  // The two sockets of a relayed connection. `silent` is indexed by direction:
  // 0 to the target, 1 to the client.
  struct Connection {
    Connection(Socket a, Socket b)
        : client(std::move(a)), server(std::move(b)) {}
    void Close() {
      boost::system::error_code ec;
      client.close(ec);
      server.close(ec);
    }
    Socket client;
    Socket server;
    std::array<bool, 2> silent{};
  };

  // Accepts connections and starts to forward both directions.
  void AcceptLoop() {
    while (true) {
      Socket client(Runtime::Get().io());
      const auto result =
          AwaitIo([&](auto done) { acceptor_.async_accept(client, done); });
      Socket server(Runtime::Get().io());
      boost::system::error_code ec = result.ec;
      if (!ec && !disconnected_) {
        server.connect(
            {boost::asio::ip::make_address("127.0.0.1"), target_port_}, ec);
      }
      if (ec || disconnected_) {
        continue;
      }
      auto connection =
          std::make_shared<Connection>(std::move(client), std::move(server));
      connections_.push_back(connection);
      Forward(connection, connection->client, connection->server, 0);
      Forward(connection, connection->server, connection->client, 1);
    }
  }

  // Starts a fiber that copies one direction until a socket closes.
  void Forward(const std::shared_ptr<Connection>& connection,
               Socket& from,
               Socket& to,
               std::size_t direction) {
    boost::fibers::fiber([this, connection, &from, &to, direction] {
      char buf[16384];
      while (true) {
        const auto read = AwaitIo([&](auto done) {
          from.async_read_some(boost::asio::buffer(buf), done);
        });
        while (paused_) {
          boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
        }
        if (read.ec) {
          // A silent direction discards the end of the stream as well.
          if (!connection->silent[direction]) {
            connection->Close();
          }
          return;
        }
        if (connection->silent[direction]) {
          continue;
        }
        if (!Deliver({buf, read.bytes_transferred}, to)) {
          connection->Close();
          return;
        }
      }
    }).detach();
  }

  // Writes a block of data; returns false if the receiver has closed.
  bool Deliver(std::string_view block, Socket& to) const {
    const auto write = [&to](std::string_view data) {
      const auto written = AwaitIo([&](auto done) {
        boost::asio::async_write(
            to, boost::asio::buffer(data.data(), data.size()), done);
      });
      return !written.ec;
    };
    if (split_delay_.count() == 0 || block.size() < 2) {
      return write(block);
    }
    const auto half = block.size() / 2;
    if (!write(block.substr(0, half))) {
      return false;
    }
    boost::this_fiber::sleep_for(split_delay_);
    return write(block.substr(half));
  }

  std::uint16_t target_port_;
  std::uint16_t port_ = 0;
  bool disconnected_ = false;
  bool paused_ = false;
  std::chrono::milliseconds split_delay_{0};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Connection>> connections_;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_FAULT_RELAY_H_
