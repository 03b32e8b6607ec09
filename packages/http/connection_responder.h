// Defines ConnectionResponder, which answers one request on the connection that
// it came on.
#ifndef HTTP_CONNECTION_RESPONDER_H_
#define HTTP_CONNECTION_RESPONDER_H_

#include <functional>
#include <memory>
#include <string_view>
#include <utility>
// Keep this after <utility>: Boost 1.74's Asio uses std::exchange without
// including its header.
#include <boost/beast/core/tcp_stream.hpp>

#include "http/http_responder.h"

namespace tanagerloom {

class IoWatchdog;
struct HttpServerLimits;

/// Answers one request and watches for a close by the client meanwhile. The
/// arguments of the constructor must outlive it.
class ConnectionResponder final : public HttpResponder {
 public:
  /// The response announces that the connection closes unless `keep_alive` is
  /// set and, when its head is written, `announce_close` is not.
  ConnectionResponder(boost::beast::tcp_stream& stream,
                      IoWatchdog& watchdog,
                      const HttpServerLimits& limits,
                      const bool& announce_close,
                      bool keep_alive);
  ~ConnectionResponder() override;

  Result<void> Send(HttpResponse response) override;
  Result<void> StartStream(int status, HttpHeaders headers) override;
  Result<void> Write(std::string_view chunk) override;
  Result<void> Finish() override;
  void Abort() override;
  bool started() const override { return started_; }
  bool client_gone() const override;
  void OnClientGone(std::function<void()> handler) override;

  /// Returns whether the response is complete and has left the connection open.
  bool may_reuse() const { return finished_ && keep_alive_; }

 private:
  /// State of the watch for a close, shared with the pending wait, which may
  /// outlive the responder.
  struct DisconnectWatch {
    bool active = true;
    bool gone = false;
    std::function<void()> handler;
  };

  template <typename Message>
  void FillHead(Message& message, const HttpHeaders& headers);
  /// Runs a write that `start` starts. Closes the connection if the client does
  /// not take the data in time.
  template <typename Start>
  Result<void> AwaitWrite(Start start, bool ends_response);
  void WatchForClose();
  /// The connection has input, or its input has ended.
  void OnReadable();

  boost::beast::tcp_stream& stream_;
  IoWatchdog& watchdog_;
  const HttpServerLimits& limits_;
  const bool& announce_close_;  ///< Changes while the request is handled.
  bool keep_alive_;
  bool started_ = false;
  bool finished_ = false;
  std::shared_ptr<DisconnectWatch> watch_;
};

}  // namespace tanagerloom

#endif  // HTTP_CONNECTION_RESPONDER_H_
