// Defines IoWatchdog, which limits the duration of operations on one socket.
// A separate timer for each operation would cost more than relaying a token, so
// one timer stays armed and checks the current deadline when it expires.
#ifndef HTTP_IO_WATCHDOG_H_
#define HTTP_IO_WATCHDOG_H_

#include <memory>
#include <utility>
// Keep this after <utility>.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "runtime/clock.h"

namespace tanagerloom {

/// Cancels the operations of a socket that are pending at their deadline. The
/// socket must outlive the watchdog.
class IoWatchdog {
 public:
  IoWatchdog(boost::asio::io_context& io, boost::asio::ip::tcp::socket& socket)
      : state_(std::make_shared<State>(io, socket)) {}
  ~IoWatchdog() {
    state_->socket = nullptr;
    state_->timer.cancel();
  }
  IoWatchdog(const IoWatchdog&) = delete;
  IoWatchdog& operator=(const IoWatchdog&) = delete;

  /// Starts to watch an operation.
  void Begin(TimePoint deadline) {
    state_->expired = false;
    state_->deadline = deadline;
    if (!state_->armed || deadline < state_->timer.expiry()) {
      Arm(state_);
    }
  }

  /// Ends the watch after the operation has completed. Returns whether it was
  /// cancelled because its deadline had passed.
  bool End() {
    state_->deadline = TimePoint::max();
    return state_->expired;
  }

 private:
  // Shared with the pending wait, which may outlive the watchdog.
  struct State {
    State(boost::asio::io_context& io, boost::asio::ip::tcp::socket& s)
        : timer(io), socket(&s) {}

    boost::asio::steady_timer timer;
    boost::asio::ip::tcp::socket* socket;
    TimePoint deadline = TimePoint::max();
    bool armed = false;
    bool expired = false;
  };

  static void Arm(const std::shared_ptr<State>& state) {
    state->armed = true;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait([state](boost::system::error_code ec) {
      // A cancelled wait was replaced by one with an earlier deadline.
      if (ec || state->socket == nullptr) {
        return;
      }
      state->armed = false;
      if (state->deadline == TimePoint::max()) {
        return;
      }
      if (std::chrono::steady_clock::now() < state->deadline) {
        Arm(state);
        return;
      }
      state->expired = true;
      boost::system::error_code ignored;
      state->socket->cancel(ignored);
    });
  }

  std::shared_ptr<State> state_;
};

}  // namespace tanagerloom

#endif  // HTTP_IO_WATCHDOG_H_
