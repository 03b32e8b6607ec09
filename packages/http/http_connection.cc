#include "http/http_connection.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

#include "http/field_parser.h"
#include "http/field_size.h"
#include "http/io_watchdog.h"
#include "http/transfer_coding.h"
#include "runtime/await.h"

namespace tanagerloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace {

constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
// Max number of interim responses before an answer.
constexpr int kMaxInterimResponses = 8;
constexpr std::size_t kReadBufferBytes = 16 * 1024;
// Max number of bytes that are received and not yet parsed. The parser keeps a
// header, a chunk extension or the trailers until they are complete.
constexpr std::size_t kMaxUnparsedBytes = 2UL * kMaxHeaderBytes;

// Whether a response with this status precedes the answer to the same request.
// A change of the protocol (101) is never asked for.
bool IsInterim(unsigned status) {
  return status >= 100 && status < 200 && status != 101;
}

// Whether a message can hold all of these fields.
bool FitsMessage(const HttpHeaders& headers) {
  return std::ranges::all_of(headers.fields(), [](const HttpHeader& it) {
    return FitsHeaderField(it.name.size(), it.value.size());
  });
}

// Whether a status is one that an answer can have.
bool IsFinal(unsigned status) {
  return status >= 200 && status < 600;
}

HttpFailure Failure(boost::system::error_code ec,
                    std::string_view what,
                    const Address& address,
                    Verdict verdict) {
  const bool timeout = ec == beast::error::timeout;
  return {
      MakeError(
          timeout ? ErrorKind::kTimeout
                  : (verdict == Verdict::kNotRun ? ErrorKind::kUnavailable
                                                 : ErrorKind::kUnknown),
          std::string(what) + " " + address.ToString() + ": " + ec.message()),
      verdict};
}

// States the length of the body. message::prepare_payload() throws for methods
// whose requests should have none, but a request is sent on as it came.
void SetBodyLength(bhttp::request<bhttp::span_body<const char>>& message,
                   std::size_t size) {
  const auto method = message.method();
  const bool needs_length = method == bhttp::verb::options ||
                            method == bhttp::verb::put ||
                            method == bhttp::verb::post;
  if (size > 0 || needs_length) {
    message.content_length(size);
  } else {
    message.chunked(false);
  }
}

}  // namespace

struct HttpConnection::Impl {
  explicit Impl(asio::io_context& io)
      : stream(io), watchdog(io, stream.socket()) {}

  /// Returns whether a read with this deadline may be started. After the
  /// deadline it may take only the input that has already arrived.
  bool MayRead(TimePoint deadline);
  /// Runs a read that `start` starts, and again if input arrived although it
  /// was cancelled. Fails with beast::error::timeout at the deadline.
  template <typename Start>
  boost::system::error_code Read(TimePoint deadline, Start start);
  /// Counts bytes that were read after the deadline.
  void CountLateBytes(std::size_t n);
  /// Parses the buffered input without reading from the socket. Appends the
  /// body bytes to `out` and returns their number.
  std::size_t ParseBuffered(std::string& out);

  beast::tcp_stream stream;
  IoWatchdog watchdog;
  /// Number of bytes that may still be read although the deadline has passed;
  /// unset before the deadline.
  std::optional<std::size_t> late_bytes;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  /// Body bytes of one read; null while no body is read. They are not on the
  /// stack of the fiber, whose pages would stay in memory for as long as its
  /// client is connected.
  std::unique_ptr<std::array<char, kReadBufferBytes>> chunk;
  std::optional<ResponseParser<bhttp::buffer_body>> parser;
};

bool HttpConnection::Impl::MayRead(TimePoint deadline) {
  if (std::chrono::steady_clock::now() < deadline) {
    late_bytes.reset();
    return true;
  }
  if (!late_bytes) {
    boost::system::error_code ec;
    // One more, for a read that finds the end of the input.
    late_bytes = buffer.size() + stream.socket().available(ec) + 1;
  }
  return *late_bytes > 0;
}

void HttpConnection::Impl::CountLateBytes(std::size_t n) {
  if (late_bytes) {
    *late_bytes -= std::min(*late_bytes, n);
  }
}

template <typename Start>
boost::system::error_code HttpConnection::Impl::Read(TimePoint deadline,
                                                     Start start) {
  boost::system::error_code ec;
  do {
    watchdog.Begin(deadline);
    const auto result = AwaitIo(start);
    CountLateBytes(result.bytes_transferred);
    if (!watchdog.End(result.ec)) {
      return result.ec;
    }
    // The timer may have been handled before input that arrived earlier.
  } while (stream.socket().available(ec) > 0);
  return beast::error::timeout;
}

// One read often returns several chunks. They are returned together because the
// caller would need one write for each otherwise. The next read reports a parse
// error again.
std::size_t HttpConnection::Impl::ParseBuffered(std::string& out) {
  constexpr std::size_t kMaxBytes = 64UL * 1024;
  std::size_t total = 0;
  while (!parser->is_done() && buffer.size() > 0 && total < kMaxBytes) {
    parser->get().body().data = chunk->data();
    parser->get().body().size = chunk->size();
    boost::system::error_code ec;
    const auto used = parser->put(buffer.data(), ec);
    buffer.consume(used);
    CountLateBytes(used);
    const std::size_t n = chunk->size() - parser->get().body().size;
    out.append(chunk->data(), n);
    total += n;
    if ((ec && ec != bhttp::error::need_buffer) || used == 0) {
      break;
    }
  }
  return total;
}

HttpConnection::HttpConnection(asio::io_context& io, Address address)
    : impl_(std::make_unique<Impl>(io)), address_(std::move(address)) {}

// Closing resets the connection of an unfinished exchange (SO_LINGER with 0 s),
// so that data already written does not arrive later, when a network fault ends
// or the process resumes. A complete exchange is closed normally.
HttpConnection::~HttpConnection() {
  auto& socket = impl_->stream.socket();
  if (complete() && socket.is_open()) {
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(false, 0), ec);
  }
}

HttpResult<void> HttpConnection::Connect(TimePoint deadline) {
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address_.ip, ec);
  if (ec) {
    return Failure(ec, "invalid IP address", address_, Verdict::kNotRun);
  }
  impl_->stream.expires_at(deadline);
  const asio::ip::tcp::endpoint remote(ip, address_.port);
  const auto result =
      AwaitIo([&](auto done) { impl_->stream.async_connect(remote, done); });
  if (result.ec) {
    return Failure(result.ec, "cannot connect to", address_, Verdict::kNotRun);
  }
  impl_->stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  impl_->stream.socket().set_option(asio::socket_base::linger(true, 0), ec);
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

HttpResult<void> HttpConnection::Send(const HttpRequest& request,
                                      std::string_view body,
                                      const HttpCallOptions& options) {
  if (!FitsMessage(request.headers)) {
    return Failure(bhttp::error::header_limit, "cannot send the request to",
                   address_, Verdict::kNotRun);
  }
  bhttp::request<bhttp::span_body<const char>> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  if (!request.headers.Find("Host")) {
    message.set(bhttp::field::host, address_.ToString());
  }
  for (const auto& it : request.headers.fields()) {
    message.insert(it.name, it.value);
  }
  message.body() = {body.data(), body.size()};
  SetBodyLength(message, body.size());
  // After a suspension of the process, the connect and the deadline complete at
  // the same time. Without this check the request would be written although its
  // deadline has passed.
  if (std::chrono::steady_clock::now() >= options.deadline) {
    return Failure(beast::error::timeout, "cannot send the request to",
                   address_, Verdict::kNotRun);
  }
  if (options.may_send && !options.may_send()) {
    return Failure(asio::error::operation_aborted,
                   "the request may no longer be sent to", address_,
                   Verdict::kNotRun);
  }
  // A failed write leaves an unfinished exchange.
  impl_->parser.reset();
  impl_->late_bytes.reset();
  impl_->stream.expires_never();
  impl_->watchdog.Begin(options.deadline);
  auto result = AwaitIo([&](auto done) {
    bhttp::async_write(impl_->stream.socket(), message, done);
  });
  if (impl_->watchdog.End(result.ec)) {
    result.ec = beast::error::timeout;
  }
  if (result.ec) {
    return Failure(result.ec, "cannot send the request to", address_,
                   result.bytes_transferred == 0 ? Verdict::kNotRun
                                                 : Verdict::kMayHaveRun);
  }
  if (options.on_written) {
    options.on_written();
  }
  return ReadHead(request, options);
}

HttpResult<void> HttpConnection::ReadHead(const HttpRequest& request,
                                          const HttpCallOptions& options) {
  boost::system::error_code ec;
  int interim = -1;
  do {
    ++interim;
    auto& parser = impl_->parser.emplace();
    parser.header_limit(kMaxHeaderBytes);
    parser.body_limit(options.max_body_bytes);
    // The response to HEAD states the length of a body that is not sent.
    parser.skip(request.method == "HEAD");
    ec = impl_->Read(options.deadline, [&](auto done) {
      bhttp::async_read_header(impl_->stream.socket(), impl_->buffer, parser,
                               done);
    });
  } while (!ec && IsInterim(impl_->parser->get().result_int()) &&
           interim < kMaxInterimResponses);
  if (!ec && !IsFinal(impl_->parser->get().result_int())) {
    ec = bhttp::error::bad_status;
  }
  if (ec) {
    return Failure(ec, "no response from", address_, Verdict::kMayHaveRun);
  }
  const auto& head = impl_->parser->get();
  status_ = static_cast<int>(head.result_int());
  headers_ = HttpHeaders();
  for (const auto& it : head) {
    headers_.Add(
        std::string_view(it.name_string().data(), it.name_string().size()),
        std::string_view(it.value().data(), it.value().size()));
  }
  const auto coding = ReadTransferCoding(headers_.FindAll("Transfer-Encoding"));
  if (coding != TransferCoding::kNone && coding != TransferCoding::kChunked) {
    // The parser would return a body with its coding as if it had none.
    return Failure(bhttp::error::bad_transfer_encoding, "no response from",
                   address_, Verdict::kMayHaveRun);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

HttpResult<std::size_t> HttpConnection::ReadSome(std::string& out,
                                                 TimePoint deadline) {
  auto& chunk = impl_->chunk;
  if (chunk == nullptr) {
    chunk =
        std::make_unique_for_overwrite<std::array<char, kReadBufferBytes>>();
  }
  auto& parser = *impl_->parser;
  impl_->stream.expires_never();
  while (!parser.is_done()) {
    if (!impl_->MayRead(deadline)) {
      return Failure(beast::error::timeout,
                     "the deadline passed within the response of", address_,
                     Verdict::kMayHaveRun);
    }
    parser.get().body().data = chunk->data();
    parser.get().body().size = chunk->size();
    const auto ec = impl_->Read(deadline, [&](auto done) {
      bhttp::async_read_some(impl_->stream.socket(), impl_->buffer, parser,
                             done);
    });
    if (ec && ec != bhttp::error::need_buffer) {
      return Failure(ec, "response cut from", address_, Verdict::kMayHaveRun);
    }
    const std::size_t n = chunk->size() - parser.get().body().size;
    if (n > 0) {
      out.append(chunk->data(), n);
      return n + impl_->ParseBuffered(out);
    }
  }
  chunk.reset();
  return std::size_t{0};
}

bool HttpConnection::IsUsable() {
  auto& socket = impl_->stream.socket();
  if (!socket.is_open() || impl_->buffer.size() > 0) {
    return false;
  }
  boost::system::error_code ec;
  char byte = 0;
  socket.non_blocking(true, ec);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

bool HttpConnection::IsReusable() const {
  return complete() && impl_->parser->get().keep_alive();
}

bool HttpConnection::complete() const {
  return impl_->parser.has_value() && impl_->parser->is_done();
}

void HttpConnection::Close() {
  impl_->stream.close();
}

}  // namespace tanagerloom
