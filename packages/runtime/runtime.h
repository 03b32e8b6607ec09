// Defines Runtime, which owns the io_context and installs the fiber scheduler
// on the only thread of the process.
#ifndef RUNTIME_RUNTIME_H_
#define RUNTIME_RUNTIME_H_

#include <functional>

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

/// The io_context, fiber scheduler and signal handling of a process.
class Runtime {
 public:
  /// Returns the only instance; the first call installs the scheduler. The
  /// io_context is never destroyed, because the scheduler still runs while the
  /// thread ends.
  static Runtime& Get();

  boost::asio::io_context& io() { return io_; }

  /// Calls `handler` in a fiber for each SIGTERM or SIGINT. `count` is the
  /// number of signals so far.
  void OnStopSignal(std::function<void(int count)> handler);

  /// Calls `handler` in a fiber for each SIGHUP.
  void OnReloadSignal(std::function<void()> handler);

  /// Flushes the output streams and ends the process. Returning from main would
  /// wait for all detached fibers, and the accepting and polling fibers never
  /// end.
  [[noreturn]] static void Exit(int status);

 private:
  explicit Runtime(boost::asio::io_context& io) : io_(io) {}

  boost::asio::io_context& io_;
};

}  // namespace tanagerloom

#endif  // RUNTIME_RUNTIME_H_
