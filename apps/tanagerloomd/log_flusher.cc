#include "apps/tanagerloomd/log_flusher.h"

#include <boost/fiber/fiber.hpp>
#include <chrono>

#include "base/event_log.h"
#include "runtime/clock.h"

namespace tanagerloom {

namespace {

constexpr std::chrono::milliseconds kFlushInterval{500};

}  // namespace

void StartLogFlusher(EventLog& log, Clock& clock) {
  boost::fibers::fiber([&log, &clock] {
    while (true) {
      clock.SleepFor(kFlushInterval);
      log.Flush();
    }
  }).detach();
}

}  // namespace tanagerloom
