#include "runtime/fiber_scheduler.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/context.hpp>

namespace tanagerloom {

namespace {

// Maximum number of fibers that are resumed before I/O handlers are run.
constexpr int kMaxPicksBetweenPolls = 32;

}  // namespace

struct FiberScheduler::Timer {
  explicit Timer(boost::asio::io_context& io) : timer(io) {}
  boost::asio::steady_timer timer;
  bool pending = false;  ///< Whether async_wait has been called and its handler
                         ///< has not run.
};

FiberScheduler::FiberScheduler(boost::asio::io_context& io)
    : io_(io), timer_(std::make_unique<Timer>(io)) {}

FiberScheduler::~FiberScheduler() = default;

void FiberScheduler::awakened(boost::fibers::context* context) noexcept {
  ready_.push_back(context);
}

boost::fibers::context* FiberScheduler::pick_next() noexcept {
  if (poller_ != nullptr && !ready_.empty() &&
      ++picks_since_poll_ >= kMaxPicksBetweenPolls) {
    picks_since_poll_ = 0;
    return std::exchange(poller_, nullptr);
  }
  if (ready_.empty()) {
    return nullptr;
  }
  auto* context = ready_.front();
  ready_.pop_front();
  return context;
}

bool FiberScheduler::has_ready_fibers() const noexcept {
  return !ready_.empty();
}

void FiberScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& time) noexcept {
  picks_since_poll_ = 0;
  // Setting the timer again cancels the pending wait, and its handler then
  // makes run_one return at once. With an unchanged time run_one would never
  // block.
  const bool armed = timer_->pending && timer_->timer.expiry() == time;
  if (time != std::chrono::steady_clock::time_point::max() && !armed) {
    timer_->timer.expires_at(time);
    timer_->pending = true;
    timer_->timer.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        timer_->pending = false;
      }
    });
  }
  io_.run_one();
  io_.poll();
}

void FiberScheduler::notify() noexcept {
  boost::asio::post(io_, [] {});
}

void FiberScheduler::PollLoop() {
  while (true) {
    io_.poll();
    poller_ = boost::fibers::context::active();
    poller_->suspend();
  }
}

}  // namespace tanagerloom
