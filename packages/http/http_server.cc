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

#include "http/http_responder.h"
#include "http/io_watchdog.h"
#include "http/transfer_coding.h"
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

/// Why a request cannot be read, and the status that says so.
struct MalformedRequest {
  bhttp::status status = bhttp::status::bad_request;
  std::string message;
};

// Returns whether a read failed because the connection was closed.
bool IsEndOfConnection(boost::system::error_code ec) {
  return ec == bhttp::error::end_of_stream || ec == asio::error::eof ||
         ec == asio::error::connection_reset ||
         ec == asio::error::operation_aborted;
}

// Returns the problem of a request whose read failed with `ec`.
MalformedRequest ProblemOf(boost::system::error_code ec,
                           const HttpServerLimits& limits) {
  if (ec == bhttp::error::body_limit) {
    return {bhttp::status::payload_too_large,
            "the body is larger than " + std::to_string(limits.max_body_bytes) +
                " bytes"};
  }
  if (ec == bhttp::error::header_limit) {
    return {bhttp::status::request_header_fields_too_large,
            "the header is larger than " +
                std::to_string(limits.max_header_bytes) + " bytes"};
  }
  if (ec == beast::error::timeout) {
    return {bhttp::status::request_timeout,
            "the request did not arrive in time"};
  }
  return {bhttp::status::bad_request,
          "the request is malformed: " + ec.message()};
}

// Returns the problem of a request whose body has an unknown end or a coding
// that is not supported. The parser takes such a body for the next request, or
// passes it on as it is.
std::optional<MalformedRequest> FramingProblemOf(unsigned version,
                                                 const HttpRequest& request) {
  constexpr unsigned kHttp11 = 11;
  const auto coding =
      ReadTransferCoding(request.headers.FindAll("Transfer-Encoding"));
  if (coding == TransferCoding::kNone ||
      (coding == TransferCoding::kChunked && version >= kHttp11)) {
    return std::nullopt;
  }
  if (coding == TransferCoding::kUnsupported && version >= kHttp11) {
    return MalformedRequest{bhttp::status::not_implemented,
                            "the transfer coding is not supported"};
  }
  return MalformedRequest{bhttp::status::bad_request,
                          "the end of the body is unknown"};
}

// State of the watch for a client that closes its connection while its request
// is handled. It is shared with the pending wait, which may outlive the
// responder.
struct DisconnectWatch {
  bool active = true;
  bool gone = false;
  std::function<void()> handler;
};

// Answers one request on its connection and watches for a close by the client
// meanwhile.
class ConnectionResponder final : public HttpResponder {
 public:
  ConnectionResponder(beast::tcp_stream& stream,
                      IoWatchdog& watchdog,
                      const HttpServerLimits& limits,
                      const bool& announce_close,
                      bool keep_alive)
      : stream_(stream),
        watchdog_(watchdog),
        limits_(limits),
        announce_close_(announce_close),
        keep_alive_(keep_alive),
        watch_(std::make_shared<DisconnectWatch>()) {
    WatchForClose();
  }

  ~ConnectionResponder() override {
    watch_->active = false;
    watch_->handler = nullptr;
    boost::system::error_code ec;
    stream_.socket().cancel(ec);
  }

  Result<void> Send(HttpResponse response) override {
    started_ = true;
    bhttp::response<bhttp::string_body> message;
    message.result(static_cast<unsigned>(response.status));
    FillHead(message, response.headers);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return AwaitWrite(
        [&](auto done) { bhttp::async_write(stream_.socket(), message, done); },
        /*ends_response=*/true);
  }

  Result<void> StartStream(int status, HttpHeaders headers) override {
    started_ = true;
    bhttp::response<bhttp::empty_body> message;
    message.result(static_cast<unsigned>(status));
    FillHead(message, headers);
    message.chunked(true);
    bhttp::response_serializer<bhttp::empty_body> serializer(message);
    return AwaitWrite(
        [&](auto done) {
          bhttp::async_write_header(stream_.socket(), serializer, done);
        },
        /*ends_response=*/false);
  }

  Result<void> Write(std::string_view chunk) override {
    if (chunk.empty()) {
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    return AwaitWrite(
        [&](auto done) {
          asio::async_write(
              stream_.socket(),
              bhttp::make_chunk(asio::buffer(chunk.data(), chunk.size())),
              done);
        },
        /*ends_response=*/false);
  }

  Result<void> Finish() override {
    return AwaitWrite(
        [&](auto done) {
          asio::async_write(stream_.socket(), bhttp::make_chunk_last(), done);
        },
        /*ends_response=*/true);
  }

  void Abort() override {
    finished_ = false;
    keep_alive_ = false;
    stream_.close();
  }

  bool started() const override { return started_; }
  bool client_gone() const override { return watch_->gone; }

  void OnClientGone(std::function<void()> handler) override {
    if (watch_->gone) {
      handler();
      return;
    }
    watch_->handler = std::move(handler);
  }

  /// Returns whether the response is complete and has left the connection open.
  bool may_reuse() const { return finished_ && keep_alive_; }

 private:
  template <typename Message>
  void FillHead(Message& message, const HttpHeaders& headers) {
    message.version(11);
    for (const auto& it : headers.fields()) {
      message.insert(it.name, it.value);
    }
    // A stop may have begun since the request arrived.
    keep_alive_ = keep_alive_ && !announce_close_;
    message.keep_alive(keep_alive_);
  }

  // Runs a write that `start` starts. Closes the connection if the client does
  // not take the data in time.
  template <typename Start>
  Result<void> AwaitWrite(Start start, bool ends_response) {
    watchdog_.Begin(std::chrono::steady_clock::now() + limits_.write_timeout);
    auto ec = AwaitIo(start).ec;
    if (watchdog_.End(ec)) {
      ec = beast::error::timeout;
      stream_.close();
    }
    if (ec) {
      keep_alive_ = false;
      return MakeError(ErrorKind::kUnavailable,
                       "cannot write to the client: " + ec.message());
    }
    finished_ = finished_ || ends_response;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }

  void WatchForClose() {
    stream_.socket().async_wait(
        asio::socket_base::wait_read,
        [this, watch = watch_](boost::system::error_code ec) {
          if (watch->active && ec == asio::error::operation_aborted) {
            // The timeout of a write that had just completed cancelled it.
            WatchForClose();
            return;
          }
          if (!watch->active || ec) {
            return;
          }
          char byte = 0;
          boost::system::error_code peek;
          stream_.socket().non_blocking(true, peek);
          const auto n = stream_.socket().receive(
              asio::buffer(&byte, 1), asio::socket_base::message_peek, peek);
          // Input is the next pipelined request; only an end of input means
          // that the client has closed the connection.
          if (n > 0 || peek == asio::error::would_block) {
            return;
          }
          watch->gone = true;
          if (watch->handler) {
            auto handler = std::exchange(watch->handler, nullptr);
            handler();
          }
        });
  }

  beast::tcp_stream& stream_;
  IoWatchdog& watchdog_;
  const HttpServerLimits& limits_;
  const bool& announce_close_;  ///< Changes while the request is handled.
  bool keep_alive_;
  bool started_ = false;
  bool finished_ = false;
  std::shared_ptr<DisconnectWatch> watch_;
};

}  // namespace

namespace {

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
  message.result(problem.status);
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
