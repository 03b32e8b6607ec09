// Defines EventLog, which records the numbered events of a process. Each event
// is written to the log and kept in a bounded ring buffer, from which the
// timeline is served.
#ifndef BASE_EVENT_LOG_H_
#define BASE_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/event.h"
#include "base/hybrid_clock.h"
#include "base/log_rate_limiter.h"

namespace spdlog {
class logger;
}

namespace tanagerloom {

/// One recorded event. `sequence` rises by one with each event of a process.
struct EventRecord {
  HybridTime time;
  std::uint64_t sequence = 0;
  EventId id{};
  nlohmann::json fields;

  /// Returns the event as a JSON object. `process` names the recording process.
  nlohmann::json ToJson(const std::string& process) const;
};

/// Keeps the latest events and writes all of them to the log of the process, up
/// to the rate that LogRateLimiter allows.
class EventLog {
 public:
  /// `process` names this process in the merged timeline. `capacity` is the
  /// maximum number of events in the ring buffer.
  EventLog(std::string process,
           std::size_t capacity,
           std::shared_ptr<spdlog::logger> logger);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Records an event at the current time. `fields` is a JSON object.
  void Record(EventId id, nlohmann::json fields);

  /// Calls `observer` with each event recorded from now on. Replaces the
  /// previous observer.
  void SetObserver(std::function<void(const EventRecord&)> observer);

  /// Returns the kept events with a sequence number above `after`, oldest
  /// first.
  std::vector<EventRecord> Since(std::uint64_t after) const;

  HybridClock& clock() { return clock_; }
  const std::string& process() const { return process_; }

 private:
  void Write(const EventRecord& record);

  std::string process_;
  std::size_t capacity_;
  std::shared_ptr<spdlog::logger> logger_;
  HybridClock clock_;
  LogRateLimiter limiter_;
  std::uint64_t sequence_ = 0;
  std::deque<EventRecord> ring_;
  std::function<void(const EventRecord&)> observer_;
};

/// Makes a logger that writes one line per event to standard output. With
/// `json` a line is the JSON object alone; otherwise a time and a level precede
/// it.
std::shared_ptr<spdlog::logger> MakeLogger(bool json);

/// Makes a logger that writes nothing, for tests and tools.
std::shared_ptr<spdlog::logger> MakeNullLogger();

}  // namespace tanagerloom

#endif  // BASE_EVENT_LOG_H_
