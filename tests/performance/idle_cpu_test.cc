// Guards against a scheduler that polls instead of blocking while all fibers
// wait, which costs every node CPU time at idle.
#include <gtest/gtest.h>

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/operations.hpp>
#include <ctime>

#include "runtime/runtime.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

// The process's CPU time does not depend on the load of the machine: blocked
// for half a second it needs a few ms, polling it would need most of 500 ms.
// The I/O event ends the first wait; the next one is for the same time.
TEST(IdleCpu, SleepBlocksAgainAfterAnIoEvent) {
  boost::asio::steady_timer io_event(Runtime::Get().io(), 50ms);
  io_event.async_wait([](boost::system::error_code) {});
  const auto start = std::clock();
  boost::this_fiber::sleep_for(500ms);
  const auto used =
      1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
  EXPECT_LT(used, 100.0) << "ms of CPU time while all fibers slept";
}

}  // namespace
}  // namespace tanagerloom
