#include "runtime/yield_timer.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "runtime/await.h"

namespace tanagerloom {

YieldTimer::YieldTimer(boost::asio::io_context& io)
    : io_(io), slice_started_at_(std::chrono::steady_clock::now()) {}

void YieldTimer::Check() {
  if (std::chrono::steady_clock::now() - slice_started_at_ < kMaxSlice) {
    return;
  }
  // A plain yield would resume this fiber many times before handlers of I/O
  // run. The posted handler runs after those that are ready now.
  AwaitIo([this](auto done) {
    boost::asio::post(io_, [done] { done(boost::system::error_code()); });
  });
  slice_started_at_ = std::chrono::steady_clock::now();
}

}  // namespace tanagerloom
