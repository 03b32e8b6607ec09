// Defines Runtime, which owns the io_context and installs the fiber scheduler
// on the process's only thread.
#ifndef RUNTIME_RUNTIME_H_
#define RUNTIME_RUNTIME_H_

#include <functional>

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

/// The process's runtime.
class Runtime {
 public:
  /// Installs the scheduler on first use. The io_context lives until the
  /// process ends, because the scheduler goes on running while the thread ends.
  static Runtime& Get();

  boost::asio::io_context& io() { return io_; }

  /// Calls `handler` in a fiber for each SIGTERM or SIGINT.
  void OnStopSignal(std::function<void(int count)> handler);

  /// Calls `handler` in a fiber for each SIGHUP.
  void OnReloadSignal(std::function<void()> handler);

  /// Ends the process. Returning from main would wait for every detached fiber,
  /// and the accepting and polling fibers never end.
  [[noreturn]] static void Exit(int status);

 private:
  explicit Runtime(boost::asio::io_context& io) : io_(io) {}

  boost::asio::io_context& io_;
};

}  // namespace tanagerloom

#endif  // RUNTIME_RUNTIME_H_
