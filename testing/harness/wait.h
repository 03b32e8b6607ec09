// Defines WaitUntil, with which tests wait for a condition that other fibers or
// processes bring about.
#ifndef TESTING_HARNESS_WAIT_H_
#define TESTING_HARNESS_WAIT_H_

#include <boost/fiber/operations.hpp>
#include <chrono>

namespace tanagerloom::testing_support {

/// Polls `condition` until it holds. Returns false on the timeout. The default
/// timeout is generous, because only a failing test waits for it.
template <typename Condition>
bool WaitUntil(Condition condition,
               std::chrono::milliseconds timeout = std::chrono::seconds(30)) {
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    boost::this_fiber::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace tanagerloom::testing_support

#endif  // TESTING_HARNESS_WAIT_H_
