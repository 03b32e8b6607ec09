#include "runtime/runtime.h"

// Boost 1.74's Asio uses std::exchange without including its header.
#include <utility>
// Keep this after <utility>.
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

#include "runtime/await.h"
#include "runtime/fiber_scheduler.h"

namespace tanagerloom {

namespace {

// Delivers signals that were held back since the start of the program.
void Unblock(std::initializer_list<int> signals) {
  sigset_t set;
  sigemptyset(&set);
  for (const int it : signals) {
    sigaddset(&set, it);
  }
  pthread_sigmask(SIG_UNBLOCK, &set, nullptr);
}

}  // namespace

Runtime& Runtime::Get() {
  static Runtime& runtime = []() -> Runtime& {
    auto* io = new boost::asio::io_context(1);
    new boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>(io->get_executor());
    auto* scheduler = new FiberScheduler(*io);
    boost::fibers::context::active()->get_scheduler()->set_algo(
        boost::fibers::algo::algorithm::ptr_t(scheduler));
    boost::fibers::fiber([scheduler] { scheduler->PollLoop(); }).detach();
    std::signal(SIGPIPE, SIG_IGN);
    return *new Runtime(*io);
  }();
  return runtime;
}

// Both handlers are installed before the calls return, since the default action
// of their signals would end the process.

void Runtime::OnStopSignal(std::function<void(int count)> handler) {
  boost::fibers::fiber(boost::fibers::launch::dispatch, [this,
                                                         handler = std::move(
                                                             handler)] {
    boost::asio::signal_set signals(io_, SIGTERM, SIGINT);
    Unblock({SIGTERM, SIGINT});
    for (int count = 1;; ++count) {
      const auto result = AwaitIo([&](auto done) {
        signals.async_wait(
            [done](boost::system::error_code ec, int) { done(ec, 0); });
      });
      if (result.ec) {
        return;
      }
      handler(count);
    }
  }).detach();
}

void Runtime::OnReloadSignal(std::function<void()> handler) {
  boost::fibers::fiber(boost::fibers::launch::dispatch, [this,
                                                         handler = std::move(
                                                             handler)] {
    boost::asio::signal_set signals(io_, SIGHUP);
    Unblock({SIGHUP});
    while (true) {
      const auto result = AwaitIo([&](auto done) {
        signals.async_wait(
            [done](boost::system::error_code ec, int) { done(ec, 0); });
      });
      if (result.ec) {
        return;
      }
      handler();
    }
  }).detach();
}

void Runtime::Exit(int status) {
  std::fflush(nullptr);
  std::_Exit(status);
}

}  // namespace tanagerloom
