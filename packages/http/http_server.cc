#include "http/http_server.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <list>
#include <variant>
#include <vector>

#include "http/buffer_budget.h"
#include "http/connection_responder.h"
#include "http/malformed_request.h"
#include "http/request_memory.h"
#include "http/request_reader.h"
#include "http/server_connection.h"
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
// A connection without a request for less than this time is not closed for
// another one: its client may be about to send.
constexpr auto kMinIdleTime = std::chrono::seconds(1);
// Max number of bytes of one connection that wait in the kernel. They count as
// memory of the VM, and the kernel would take some megabytes for each.
constexpr int kReceiveBufferBytes = 192 * 1024;
constexpr auto kRetryAfterLimit = std::chrono::seconds(1);
constexpr int kServiceUnavailable = 503;

// Returns the code of the refusal in its body.
std::string_view CodeOf(const MalformedRequest& problem) {
  return problem.status == kServiceUnavailable ? "overloaded"
                                               : "malformed_request";
}

// Reads and discards what the client still sends, within limits. Closing a
// connection with unread input resets it, and the client may lose the response.
void DiscardInput(beast::tcp_stream& stream) {
  constexpr auto kMaxDiscardTime = std::chrono::seconds(2);
  constexpr std::size_t kMaxDiscardedBytes = 64UL * 1024 * 1024;
  boost::system::error_code ec;
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
  stream.expires_after(kMaxDiscardTime);
  // Shared by all connections, since nobody looks at the bytes.
  static std::vector<char> discarded(16UL * 1024);
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
  State(asio::io_context& io,
        HttpServerLimits limits,
        Handler handler,
        RequestMemory* shared_memory)
      : io(io),
        limits(limits),
        handler(std::move(handler)),
        memory(shared_memory == nullptr ? own_memory : *shared_memory),
        acceptor(io) {}

  asio::io_context& io;
  HttpServerLimits limits;
  Handler handler;
  BufferBudget unlimited{std::numeric_limits<std::size_t>::max()};
  RequestMemory own_memory{unlimited};  ///< If none is shared.
  RequestMemory& memory;
  asio::ip::tcp::acceptor acceptor;
  bool stopping = false;
  bool closed = false;  ///< The handler can't be called any more.
  /// Whether responses announce that their connection closes.
  bool announce_close = false;
  std::size_t requests = 0;
  std::size_t connections = 0;
  std::uint64_t closed_at_limit = 0;
  /// Connections without a request, the one that has had none for longest
  /// first.
  std::list<ServerConnection*> idle;

  void AcceptLoop();
  bool IsAtLimit() const {
    return connections >= limits.max_connections ||
           connections + requests >= limits.max_sockets;
  }
  /// Closes one connection for others that have no place.
  void CloseOne();
  /// Closes the connection without a request for longest. Returns false if none
  /// has been without one for long.
  bool CloseIdle();
  void Serve(asio::ip::tcp::socket socket);
  /// Waits for the first byte of a request. Returns false if the connection
  /// ends or none arrives in time.
  bool AwaitRequest(ServerConnection& connection);
  /// Serves one request. Returns whether the connection may be used again.
  bool ServeOne(ServerConnection& connection);
  bool Handle(ServerConnection& connection, ArrivedRequest arrived);
  /// Refuses a request that cannot be read, and reads what follows without
  /// taking it for another one. The connection can't be used again.
  void Refuse(ServerConnection& connection, const MalformedRequest& problem);
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
    if (IsAtLimit()) {
      ++closed_at_limit;
      CloseOne();
      continue;
    }
    boost::fibers::fiber([self = shared_from_this(),
                          moved = std::move(socket)]() mutable {
      self->Serve(std::move(moved));
    }).detach();
  }
}

void HttpServer::State::CloseOne() {
  if (!memory.EndStalled(std::chrono::steady_clock::now())) {
    CloseIdle();
  }
}

bool HttpServer::State::CloseIdle() {
  const auto now = std::chrono::steady_clock::now();
  if (idle.empty() || now - idle.front()->idle_since < kMinIdleTime) {
    return false;
  }
  auto* longest = idle.front();
  // Not chosen again while its read ends.
  longest->idle_since = now;
  idle.splice(idle.end(), idle, idle.begin());
  longest->stream.cancel();
  return true;
}

void HttpServer::State::Serve(asio::ip::tcp::socket socket) {
  boost::system::error_code ec;
  socket.set_option(asio::ip::tcp::no_delay(true), ec);
  // The parser keeps a header, a chunk extension or the trailers until they are
  // complete.
  ServerConnection connection(
      io, std::move(socket),
      2UL * std::max(limits.max_header_bytes, kMinUnparsedBytes),
      memory.budget());
  if (!memory.AddConnection(connection.memory)) {
    ++closed_at_limit;
    CloseOne();
    return;
  }
  ++connections;
  // A client that has been told nothing may send another request at the moment
  // at which the server stops; it gets a response, which announces the close.
  while (!closed && ServeOne(connection)) {
  }
  --connections;
  memory.RemoveConnection(connection.memory);
  connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
}

bool HttpServer::State::AwaitRequest(ServerConnection& connection) {
  auto& socket = connection.stream.socket();
  connection.idle_since = std::chrono::steady_clock::now();
  connection.idle_place = idle.insert(idle.end(), &connection);
  IoResult read;
  boost::system::error_code ec;
  do {
    connection.watchdog.Begin(std::chrono::steady_clock::now() +
                              limits.idle_timeout);
    read = AwaitIo([&](auto done) {
      socket.async_read_some(connection.buffer.prepare(1), done);
    });
    // The timer may have been handled before input that arrived earlier.
  } while (connection.watchdog.End(read.ec) && socket.available(ec) > 0);
  idle.erase(connection.idle_place);
  connection.buffer.commit(read.bytes_transferred);
  return !read.ec;
}

bool HttpServer::State::ServeOne(ServerConnection& connection) {
  if (connection.buffer.size() == 0 && !AwaitRequest(connection)) {
    return false;
  }
  auto outcome = ReadRequest(connection, memory, limits);
  if (auto* problem = std::get_if<MalformedRequest>(&outcome)) {
    Refuse(connection, *problem);
    return false;
  }
  auto* arrived = std::get_if<ArrivedRequest>(&outcome);
  if (arrived == nullptr || closed) {
    return false;
  }
  const bool reuse = Handle(connection, std::move(*arrived));
  memory.EndRead(connection.memory, 0);
  return reuse;
}

bool HttpServer::State::Handle(ServerConnection& connection,
                               ArrivedRequest arrived) {
  if (connections + requests >= limits.max_sockets && !CloseIdle()) {
    Refuse(connection, {kServiceUnavailable,
                        "the node has too many connections", kRetryAfterLimit});
    return false;
  }
  boost::system::error_code ec;
  arrived.request.client_ip =
      connection.stream.socket().remote_endpoint(ec).address().to_string();
  ++requests;
  bool reuse = false;
  {
    ConnectionResponder responder(connection.stream, connection.watchdog,
                                  limits, announce_close, arrived.keep_alive);
    handler(arrived.request, responder);
    reuse = responder.may_reuse();
  }
  --requests;
  return reuse;
}

void HttpServer::State::Refuse(ServerConnection& connection,
                               const MalformedRequest& problem) {
  auto& stream = connection.stream;
  bhttp::response<bhttp::string_body> message;
  message.result(static_cast<unsigned>(problem.status));
  message.version(11);
  message.set(bhttp::field::content_type, "application/json");
  message.keep_alive(false);
  if (problem.retry_after > Duration(0)) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(problem.retry_after);
    message.set(bhttp::field::retry_after, std::to_string(seconds.count()));
  }
  message.body() = R"({"error":{"code":")" + std::string(CodeOf(problem)) +
                   R"(","message":")" + problem.message +
                   R"(","verdict":"not_run"}})";
  message.prepare_payload();
  stream.expires_after(limits.write_timeout);
  AwaitIo([&](auto done) { bhttp::async_write(stream, message, done); });
  // A stalled client has sent nothing that is unread, and its place is needed.
  if (!connection.ended_as_stalled) {
    DiscardInput(stream);
  }
}

HttpServer::HttpServer(asio::io_context& io,
                       HttpServerLimits limits,
                       Handler handler,
                       RequestMemory* memory)
    : state_(std::make_shared<State>(io, limits, std::move(handler), memory)) {}

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
  // Accepted connections inherit it.
  state_->acceptor.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ec);
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
    it->stream.cancel();
  }
}

std::size_t HttpServer::requests_in_flight() const {
  return state_->requests;
}

std::size_t HttpServer::connections() const {
  return state_->connections;
}

std::uint64_t HttpServer::closed_at_limit() const {
  return state_->closed_at_limit;
}

}  // namespace tanagerloom
