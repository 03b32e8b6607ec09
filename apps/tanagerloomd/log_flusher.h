// Defines StartLogFlusher, which writes log lines that the reader of the log
// did not take when they were recorded.
#ifndef APPS_TANAGERLOOMD_LOG_FLUSHER_H_
#define APPS_TANAGERLOOMD_LOG_FLUSHER_H_

namespace tanagerloom {

class Clock;
class EventLog;

/// Flushes `log` at intervals on a fiber until the process ends, so that kept
/// lines are written also when no further event follows. Both arguments must
/// outlive the process's last fiber.
void StartLogFlusher(EventLog& log, Clock& clock);

}  // namespace tanagerloom

#endif  // APPS_TANAGERLOOMD_LOG_FLUSHER_H_
