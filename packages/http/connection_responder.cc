#include "http/connection_responder.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "http/http_server.h"
#include "http/io_watchdog.h"
#include "runtime/await.h"

namespace tanagerloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

ConnectionResponder::ConnectionResponder(beast::tcp_stream& stream,
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

ConnectionResponder::~ConnectionResponder() {
  watch_->active = false;
  watch_->handler = nullptr;
  boost::system::error_code ec;
  stream_.socket().cancel(ec);
}

// ---- writes

template <typename Message>
void ConnectionResponder::FillHead(Message& message,
                                   const HttpHeaders& headers) {
  message.version(11);
  for (const auto& it : headers.fields()) {
    message.insert(it.name, it.value);
  }
  // A stop may have begun since the request arrived.
  keep_alive_ = keep_alive_ && !announce_close_;
  message.keep_alive(keep_alive_);
}

template <typename Start>
Result<void> ConnectionResponder::AwaitWrite(Start start, bool ends_response) {
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

Result<void> ConnectionResponder::Send(HttpResponse response) {
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

Result<void> ConnectionResponder::StartStream(int status, HttpHeaders headers) {
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

Result<void> ConnectionResponder::Write(std::string_view chunk) {
  if (chunk.empty()) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  return AwaitWrite(
      [&](auto done) {
        asio::async_write(
            stream_.socket(),
            bhttp::make_chunk(asio::buffer(chunk.data(), chunk.size())), done);
      },
      /*ends_response=*/false);
}

Result<void> ConnectionResponder::Finish() {
  return AwaitWrite(
      [&](auto done) {
        asio::async_write(stream_.socket(), bhttp::make_chunk_last(), done);
      },
      /*ends_response=*/true);
}

void ConnectionResponder::Abort() {
  finished_ = false;
  keep_alive_ = false;
  stream_.close();
}

// ---- watch for a close by the client

bool ConnectionResponder::client_gone() const {
  return watch_->gone;
}

void ConnectionResponder::OnClientGone(std::function<void()> handler) {
  if (watch_->gone) {
    handler();
    return;
  }
  watch_->handler = std::move(handler);
}

void ConnectionResponder::WatchForClose() {
  stream_.socket().async_wait(
      asio::socket_base::wait_read,
      [this, watch = watch_](boost::system::error_code ec) {
        if (!watch->active) {
          return;  // The responder is gone.
        }
        if (ec == asio::error::operation_aborted) {
          // The timeout of a write that had just completed cancelled it.
          WatchForClose();
        } else if (!ec) {
          OnReadable();
        }
      });
}

void ConnectionResponder::OnReadable() {
  char byte = 0;
  boost::system::error_code ec;
  stream_.socket().non_blocking(true, ec);
  const auto n = stream_.socket().receive(asio::buffer(&byte, 1),
                                          asio::socket_base::message_peek, ec);
  // Input is the next pipelined request; only an end of input means that the
  // client has closed the connection.
  if (n > 0 || ec == asio::error::would_block) {
    return;
  }
  watch_->gone = true;
  if (watch_->handler) {
    auto handler = std::exchange(watch_->handler, nullptr);
    handler();
  }
}

}  // namespace tanagerloom
