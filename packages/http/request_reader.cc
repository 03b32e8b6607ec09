#include "http/request_reader.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>
#include <chrono>
#include <optional>

#include "http/field_parser.h"
#include "http/http_server.h"
#include "http/request_memory.h"
#include "http/server_connection.h"
#include "runtime/await.h"

namespace tanagerloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

using Parser = RequestParser<bhttp::string_body>;

// Bytes of one read: of most requests, which are short, and of long bodies.
constexpr std::size_t kReadBytes = 8UL * 1024;
constexpr std::size_t kLongReadBytes = 64UL * 1024;
// Interval at which a request that waits for memory asks again.
constexpr auto kMemoryPollInterval = std::chrono::milliseconds(10);
// When a client that got no memory may come again.
constexpr auto kRetryAfterMemory = std::chrono::seconds(1);
constexpr int kServiceUnavailable = 503;
constexpr int kRequestTimeout = 408;

TimePoint Now() {
  return std::chrono::steady_clock::now();
}

// Reads one request; see ReadRequest.
class Reading {
 public:
  Reading(ServerConnection& connection,
          RequestMemory& memory,
          const HttpServerLimits& limits)
      : connection_(connection),
        memory_(memory),
        limits_(limits),
        deadline_(Now() + limits.read_timeout) {
    parser_.header_limit(limits.max_header_bytes);
    parser_.body_limit(limits.max_body_bytes);
    parser_.eager(true);
    connection_.ended_as_stalled = false;
    memory_.BeginRead(connection_.memory, Now());
  }

  ReadOutcome Run() {
    while (true) {
      if (const auto ec = Parse()) {
        return OnError(ec);
      }
      if (parser_.is_done()) {
        return OnWholeRequest();
      }
      if (connection_.ended_as_stalled) {
        return OnError(beast::error::timeout);
      }
      if (auto refusal = AwaitMemory()) {
        return End(std::move(*refusal));
      }
      if (const auto ec = ReadSome()) {
        return OnError(ec);
      }
    }
  }

 private:
  std::size_t body_bytes() const { return parser_.get().body().size(); }
  std::size_t read_bytes() const {
    return body_bytes() > RequestMemory::kSmallRequestBytes ? kLongReadBytes
                                                            : kReadBytes;
  }

  /// Parses what has arrived.
  boost::system::error_code Parse() {
    auto& buffer = connection_.buffer;
    while (!parser_.is_done() && buffer.size() > 0) {
      boost::system::error_code ec;
      const auto used = parser_.put(buffer.data(), ec);
      buffer.consume(used);
      if (ec && ec != bhttp::error::need_more) {
        return ec;
      }
      if (used == 0) {
        break;
      }
    }
    return {};
  }

  /// Returns the memory that the request takes once more of it is read. The
  /// whole of a long body is asked for once its beginning has arrived, so that
  /// those that are read have room to end; an announcement alone takes nothing.
  std::size_t NeededBytes() const {
    const auto now = body_bytes() + connection_.buffer.size() + read_bytes();
    if (now <= RequestMemory::kSmallRequestBytes) {
      return now;
    }
    const auto announced =
        parser_.is_header_done() ? parser_.content_length().value_or(0) : 0;
    const auto rest = announced > body_bytes() ? announced - body_bytes() : 0;
    return body_bytes() + connection_.buffer.size() + kLongReadBytes + rest;
  }

  /// Waits for memory to read on; the client is held up meanwhile. Returns a
  /// refusal if there is none.
  std::optional<MalformedRequest> AwaitMemory() {
    while (true) {
      switch (memory_.Grow(connection_.memory, NeededBytes(), Now())) {
        case MemoryDecision::kGranted:
          return std::nullopt;
        case MemoryDecision::kRefused:
          return MalformedRequest{kServiceUnavailable,
                                  "the node has no memory for the request",
                                  kRetryAfterMemory};
        case MemoryDecision::kWait:
          memory_.EndStalled(Now());
          boost::this_fiber::sleep_for(kMemoryPollInterval);
      }
    }
  }

  boost::system::error_code ReadSome() {
    auto& buffer = connection_.buffer;
    auto& socket = connection_.stream.socket();
    // A chunk extension or trailer without end.
    if (buffer.size() >= buffer.max_size()) {
      return bhttp::error::buffer_overflow;
    }
    const auto n = std::min(read_bytes(), buffer.max_size() - buffer.size());
    IoResult read;
    do {
      connection_.watchdog.Begin(deadline_);
      read = AwaitIo(
          [&](auto done) { socket.async_read_some(buffer.prepare(n), done); });
      // The timer may have been handled before input that arrived earlier.
    } while (connection_.watchdog.End(read.ec) && HasInput());
    if (read.ec == asio::error::operation_aborted) {
      return beast::error::timeout;
    }
    buffer.commit(read.bytes_transferred);
    arrived_ += read.bytes_transferred;
    memory_.OnProgress(connection_.memory, arrived_, Now());
    return read.ec == asio::error::eof ? OnEndOfInput() : read.ec;
  }

  bool HasInput() {
    boost::system::error_code ec;
    return connection_.stream.socket().available(ec) > 0;
  }

  boost::system::error_code OnEndOfInput() {
    if (!parser_.got_some()) {
      return bhttp::error::end_of_stream;
    }
    boost::system::error_code ec;
    parser_.put_eof(ec);
    return ec;
  }

  /// Ends with `outcome`, for which nothing of the request is kept.
  ReadOutcome End(ReadOutcome outcome) {
    parser_.get().body() = std::string();
    connection_.buffer.clear();
    connection_.buffer.shrink_to_fit();
    memory_.EndRead(connection_.memory, 0);
    return outcome;
  }

  ReadOutcome OnError(boost::system::error_code ec) {
    if (connection_.ended_as_stalled) {
      return End(MalformedRequest{
          kRequestTimeout, "the request did not arrive while others waited"});
    }
    if (IsEndOfConnection(ec)) {
      return End(ConnectionEnded());
    }
    return End(ProblemOf(ec, limits_));
  }

  ReadOutcome OnWholeRequest() {
    auto message = parser_.release();
    ArrivedRequest out{ToRequest(message), message.keep_alive()};
    if (auto problem = FramingProblemOf(message.version(), out.request)) {
      return End(std::move(*problem));
    }
    auto& buffer = connection_.buffer;
    if (buffer.size() == 0) {
      buffer.shrink_to_fit();
    }
    memory_.EndRead(connection_.memory,
                    out.request.body.size() + buffer.capacity());
    return out;
  }

  static HttpRequest ToRequest(bhttp::request<bhttp::string_body>& message) {
    HttpRequest request;
    const auto method = message.method_string();
    request.method.assign(method.data(), method.size());
    request.target.assign(message.target().data(), message.target().size());
    for (const auto& it : message) {
      request.headers.Add(
          std::string_view(it.name_string().data(), it.name_string().size()),
          std::string_view(it.value().data(), it.value().size()));
    }
    request.body = std::move(message.body());
    return request;
  }

  ServerConnection& connection_;
  RequestMemory& memory_;
  const HttpServerLimits limits_;
  const TimePoint deadline_;
  Parser parser_;
  std::size_t arrived_ = 0;
};

}  // namespace

ReadOutcome ReadRequest(ServerConnection& connection,
                        RequestMemory& memory,
                        const HttpServerLimits& limits) {
  return Reading(connection, memory, limits).Run();
}

}  // namespace tanagerloom
