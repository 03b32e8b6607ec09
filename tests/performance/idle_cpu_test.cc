// Measures the CPU time of an idle process. Guards against a fiber scheduler
// that polls instead of blocking while all fibers wait.
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

// Guards against a scheduler that polls after an I/O event interrupted its
// wait; the next wait is for the same wake-up time. CPU time is independent of
// the load of the machine: blocking for 500 ms takes a few ms, polling most of
// the 500 ms.
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
