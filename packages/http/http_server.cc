#include "http/http_server.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <optional>
#include <set>
#include <vector>

#include "http/connection_responder.h"
#include "http/io_watchdog.h"
#include "http/malformed_request.h"
#include "runtime/await.h"

namespace tanagerloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

// Half of the bytes that may be received and not yet parsed, or the max size of
// a header if that is more.
constexpr std::uint32_t kMinUnparsedBytes = 64 * 1024;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

HttpRequest ToRequest(const bhttp::request<bhttp::string_body>& message) {
  HttpRequest request;
  const auto method = message.method_string();
  request.method.assign(method.data(), method.size());
  request.target.assign(message.target().data(), message.target().size());
  for (const auto& it : message) {
    request.headers.Add(
        std::string_view(it.name_string().data(), it.name_string().size()),
        std::string_view(it.value().data(), it.value().size()));
  }
  request.body = message.body();
  return request;
}

// Reads and discards what the client still sends, within limits. Closing a
// connection with unread input resets it, and the client may lose the response.
void DiscardInput(beast::tcp_stream& stream) {
  constexpr auto kMaxDiscardTime = std::chrono::seconds(2);
  constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024 * 1024;
  boost::system::error_code ec;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  stream.expires_after(kMaxDiscardTime);
  std::vector<char> discarded(16UL * 1024);
  for (std::size_t total = 0; total < kMaxDiscardedBytes;) {
    const auto read = AwaitIo([&](auto done) {
      stream.async_read_some(asio::buffer(discarded), done);
    });
    if (read.ec) {
      return;
    }
    total += read.bytes_transferred;
  }
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(asio::io_context& io, HttpServerLimits limits, Handler handler)
      : io(io), limits(limits), handler(std::move(handler)), acceptor(io) {}

  asio::io_context& io;
  HttpServerLimits limits;
  Handler handler;
  asio::ip::tcp::acceptor acceptor;
  bool stopping = false;
  bool closed = false;  ///< The handler can't be called any more.
  /// Whether responses announce that their connection closes.
  bool announce_close = false;
  std::size_t requests = 0;
  std::set<beast::tcp_stream*> connections;
  std::set<beast::tcp_stream*> idle;

  void AcceptLoop();
  void Serve(asio::ip::tcp::socket socket);
  /// Waits for the first byte of a request. Returns false if the connection
  /// ends or none arrives in time.
  bool AwaitRequest(beast::tcp_stream& stream,
                    IoWatchdog& watchdog,
                    beast::flat_buffer& buffer);
  /// Serves one request. Returns whether the connection may be used again.
  bool ServeOne(beast::tcp_stream& stream,
                IoWatchdog& watchdog,
                beast::flat_buffer& buffer);
  /// Refuses a request that cannot be read, and reads what follows without
  /// taking it for another one. The connection can't be used again.
  void Refuse(beast::tcp_stream& stream, const MalformedRequest& problem);
};

void HttpServer::State::AcceptLoop() {
  while (!stopping) {
    asio::ip::tcp::socket socket(io);
    const auto result =
        AwaitIo([&](auto done) { acceptor.async_accept(socket, done); });
    if (stopping || result.ec == asio::error::operation_aborted) {
      return;
    }
    if (result.ec) {
      // The process is out of file descriptors, or the client has already
      // closed the connection.
      boost::this_fiber::sleep_for(kAcceptRetryDelay);
      continue;
    }
    if (connections.size() >= limits.max_connections) {
      continue;
    }
    boost::fibers::fiber([self = shared_from_this(),
                          moved = std::move(socket)]() mutable {
      self->Serve(std::move(moved));
    }).detach();
  }
}

void HttpServer::State::Serve(asio::ip::tcp::socket socket) {
  beast::tcp_stream stream(std::move(socket));
  boost::system::error_code ec;
  stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  // The parser keeps a header, a chunk extension or the trailers until they are
  // complete.
  beast::flat_buffer buffer(
      2UL * std::max(limits.max_header_bytes, kMinUnparsedBytes));
  IoWatchdog watchdog(io, stream.socket());
  connections.insert(&stream);
  // A client that has been told nothing may send another request at the moment
  // at which the server stops; it gets a response, which announces the close.
  while (!closed && ServeOne(stream, watchdog, buffer)) {
  }
  connections.erase(&stream);
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
}

bool HttpServer::State::AwaitRequest(beast::tcp_stream& stream,
                                     IoWatchdog& watchdog,
                                     beast::flat_buffer& buffer) {
  auto& socket = stream.socket();
  idle.insert(&stream);
  IoResult read;
  boost::system::error_code ec;
  do {
    watchdog.Begin(std::chrono::steady_clock::now() + limits.idle_timeout);
    read = AwaitIo(
        [&](auto done) { socket.async_read_some(buffer.prepare(1), done); });
    // The timer may have been handled before input that arrived earlier.
  } while (watchdog.End(read.ec) && socket.available(ec) > 0);
  idle.erase(&stream);
  buffer.commit(read.bytes_transferred);
  return !read.ec;
}

bool HttpServer::State::ServeOne(beast::tcp_stream& stream,
                                 IoWatchdog& watchdog,
                                 beast::flat_buffer& buffer) {
  if (buffer.size() == 0 && !AwaitRequest(stream, watchdog, buffer)) {
    return false;
  }
  bhttp::request_parser<bhttp::string_body> parser;
  parser.header_limit(limits.max_header_bytes);
  parser.body_limit(limits.max_body_bytes);
  watchdog.Begin(std::chrono::steady_clock::now() + limits.read_timeout);
  auto ec = AwaitIo([&](auto done) {
              bhttp::async_read(stream.socket(), buffer, parser, done);
            }).ec;
  if (watchdog.End(ec)) {
    ec = beast::error::timeout;
  }
  if (IsEndOfConnection(ec)) {
    return false;
  }
  if (ec) {
    Refuse(stream, ProblemOf(ec, limits));
    return false;
  }
  if (closed) {
    return false;
  }
  const auto message = parser.release();
  HttpRequest request = ToRequest(message);
  if (const auto problem = FramingProblemOf(message.version(), request)) {
    Refuse(stream, *problem);
    return false;
  }
  request.client_ip = stream.socket().remote_endpoint(ec).address().to_string();
  ++requests;
  bool reuse = false;
  {
    ConnectionResponder responder(stream, watchdog, limits, announce_close,
                                  message.keep_alive());
    handler(request, responder);
    reuse = responder.may_reuse();
  }
  --requests;
  return reuse;
}

void HttpServer::State::Refuse(beast::tcp_stream& stream,
                               const MalformedRequest& problem) {
  bhttp::response<bhttp::string_body> message;
  message.result(static_cast<unsigned>(problem.status));
  message.version(11);
  message.set(bhttp::field::content_type, "application/json");
  message.keep_alive(false);
  message.body() = R"({"error":{"code":"malformed_request","message":")" +
                   problem.message + R"(","verdict":"not_run"}})";
  message.prepare_payload();
  stream.expires_after(limits.write_timeout);
  AwaitIo([&](auto done) { bhttp::async_write(stream, message, done); });
  DiscardInput(stream);
}

HttpServer::HttpServer(asio::io_context& io,
                       HttpServerLimits limits,
                       Handler handler)
    : state_(std::make_shared<State>(io, limits, std::move(handler))) {}

HttpServer::~HttpServer() {
  state_->closed = true;
  StopAccepting();
}

Result<Address> HttpServer::Listen(const Address& address) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address.ip, ec);
  if (ec) {
    return MakeError(ErrorKind::kInvalid, "invalid IP address " + address.ip);
  }
  const asio::ip::tcp::endpoint local(ip, address.port);
  state_->acceptor.open(local.protocol(), ec);
  state_->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  state_->acceptor.bind(local, ec);
  if (!ec) {
    state_->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return MakeError(
        ErrorKind::kUnavailable,
        "cannot listen on " + address.ToString() + ": " + ec.message());
  }
  boost::fibers::fiber([state = state_] { state->AcceptLoop(); }).detach();
  return Address{address.ip, state_->acceptor.local_endpoint().port()};
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  state_->limits = limits;
}

void HttpServer::AnnounceClose() {
  state_->announce_close = true;
}

void HttpServer::StopAccepting() {
  state_->stopping = true;
  state_->announce_close = true;
  boost::system::error_code ec;
  state_->acceptor.close(ec);
  for (auto* it : state_->idle) {
    it->cancel();
  }
}

std::size_t HttpServer::requests_in_flight() const {
  return state_->requests;
}

}  // namespace tanagerloom
