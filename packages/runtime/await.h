// Defines AwaitIo, which suspends the calling fiber until an asynchronous
// operation completes, so that I/O code is written as sequential code.
#ifndef RUNTIME_AWAIT_H_
#define RUNTIME_AWAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace tanagerloom {

/// The result of an awaited I/O operation.
struct IoResult {
  boost::system::error_code ec;
  std::size_t bytes_transferred = 0;
};

/// Starts an operation with `start(handler)` and suspends the calling fiber
/// until the operation has called `handler(error_code, bytes_transferred)`.
/// Returns the arguments of that call.
template <typename Start>
IoResult AwaitIo(Start&& start) {
  struct State {
    IoResult result;
    bool done = false;
    boost::fibers::context* waiter = nullptr;
  } state;
  std::forward<Start>(start)([&state](boost::system::error_code ec,
                                      std::size_t bytes_transferred = 0) {
    state.result = {ec, bytes_transferred};
    state.done = true;
    if (state.waiter != nullptr) {
      boost::fibers::context::active()->schedule(state.waiter);
    }
  });
  if (!state.done) {
    state.waiter = boost::fibers::context::active();
    state.waiter->suspend();
  }
  return state.result;
}

}  // namespace tanagerloom

#endif  // RUNTIME_AWAIT_H_
