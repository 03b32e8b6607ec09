// Defines RawEndpoint, an endpoint whose responses are given byte by byte,
// which plays servers that do not keep to the protocol.
#ifndef TESTS_SUPPORT_RAW_ENDPOINT_H_
#define TESTS_SUPPORT_RAW_ENDPOINT_H_

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "runtime/await.h"
#include "runtime/runtime.h"

namespace tanagerloom {

/// Bytes that follow a request: `head` once, and then `repeat` without end. If
/// `repeat` is empty, the connection is closed after `head`.
struct RawAnswer {
  const char* name;
  std::string head;
  std::string repeat = {};
  /// If set, stands for `head`, and may change between requests.
  const std::string* changing_head = nullptr;
  /// Whether the connection is reset after `head`, instead of closed.
  bool reset = false;
  /// Time between `head` and the end of the connection.
  std::chrono::milliseconds pause{0};
};

/// A server that gives each request the same bytes. It must live until the
/// process ends.
class RawEndpoint {
 public:
  explicit RawEndpoint(RawAnswer answer)
      : answer_(std::move(answer)),
        acceptor_(Runtime::Get().io(),
                  {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    boost::fibers::fiber([this] { AcceptLoop(); }).detach();
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  int open_connections() const { return open_connections_; }
  int requests() const { return requests_; }

 private:
  void AcceptLoop() {
    while (true) {
      auto socket =
          std::make_shared<boost::asio::ip::tcp::socket>(Runtime::Get().io());
      const auto accepted =
          AwaitIo([&](auto done) { acceptor_.async_accept(*socket, done); });
      if (accepted.ec) {
        return;
      }
      boost::fibers::fiber([this, socket] { Serve(*socket); }).detach();
    }
  }

  void Serve(boost::asio::ip::tcp::socket& socket) {
    ++open_connections_;
    boost::asio::streambuf input;
    const auto read = AwaitIo([&](auto done) {
      boost::asio::async_read_until(socket, input, "\r\n\r\n", done);
    });
    if (!read.ec) {
      ++requests_;
      std::string next = WithAttemptId(answer_.changing_head == nullptr
                                           ? answer_.head
                                           : *answer_.changing_head,
                                       input);
      while (true) {
        const auto written = AwaitIo([&](auto done) {
          boost::asio::async_write(socket, boost::asio::buffer(next), done);
        });
        if (written.ec || answer_.repeat.empty()) {
          break;
        }
        next = answer_.repeat;
      }
    }
    boost::this_fiber::sleep_for(answer_.pause);
    boost::system::error_code ec;
    if (answer_.reset) {
      socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
      socket.close(ec);
    } else {
      socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    }
    --open_connections_;
  }

  // Replaces "ID" in the head by the id of the request.
  static std::string WithAttemptId(std::string head,
                                   boost::asio::streambuf& input) {
    const std::string request(boost::asio::buffers_begin(input.data()),
                              boost::asio::buffers_end(input.data()));
    const std::string_view field = "Attempt-Id: ";
    const auto start = request.find(field) + field.size();
    const auto id = request.substr(start, request.find('\r', start) - start);
    const auto position = head.find("ID");
    return position == std::string::npos ? head : head.replace(position, 2, id);
  }

  RawAnswer answer_;
  boost::asio::ip::tcp::acceptor acceptor_;
  int open_connections_ = 0;
  int requests_ = 0;
};

}  // namespace tanagerloom

#endif  // TESTS_SUPPORT_RAW_ENDPOINT_H_
