// Defines IoWatchdog, which limits the duration of operations on one socket.
// A separate timer for each operation would cost more than relaying a token, so
// one timer stays armed and checks the current deadline when it expires.
#ifndef HTTP_IO_WATCHDOG_H_
#define HTTP_IO_WATCHDOG_H_

#include <chrono>
#include <memory>
#include <utility>
// Keep this after <utility>.
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "runtime/clock.h"

namespace tanagerloom {

/// Cancels the operations of a socket that are pending at their deadline. The
/// socket must outlive the watchdog.
///
/// An operation can complete at its deadline, above all when the process was
/// suspended: its result then counts, since input that it has taken from the
/// socket would be lost otherwise.
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
      Arm(state_, deadline);
    }
  }

  /// Ends the watch after the operation has completed with `ec`. Returns
  /// whether it was cancelled because its deadline had passed.
  bool End(const boost::system::error_code& ec) {
    state_->deadline = TimePoint::max();
    return state_->expired && ec == boost::asio::error::operation_aborted;
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

  // Interval at which an operation is cancelled until it has completed: one
  // that consists of several reads or writes may start the next of them after a
  // cancellation.
  static constexpr std::chrono::milliseconds kCancelInterval{5};

  static void Arm(const std::shared_ptr<State>& state, TimePoint time) {
    state->armed = true;
    state->timer.expires_at(time);
    state->timer.async_wait([state](boost::system::error_code ec) {
      // A cancelled wait was replaced by one with an earlier deadline.
      if (ec || state->socket == nullptr) {
        return;
      }
      state->armed = false;
      if (state->deadline == TimePoint::max()) {
        return;
      }
      const auto now = std::chrono::steady_clock::now();
      if (now < state->deadline) {
        Arm(state, state->deadline);
        return;
      }
      state->expired = true;
      boost::system::error_code ignored;
      state->socket->cancel(ignored);
      Arm(state, now + kCancelInterval);
    });
  }

  std::shared_ptr<State> state_;
};

}  // namespace tanagerloom

#endif  // HTTP_IO_WATCHDOG_H_
