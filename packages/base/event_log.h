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

class LineWriter;

/// Where the lines of a log go. `writer` is null if they go nowhere.
struct LogOutput {
  std::shared_ptr<spdlog::logger> logger;
  std::shared_ptr<LineWriter> writer;
};

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
/// to the rate that LogRateLimiter allows. It never waits for the reader of the
/// log: see LineWriter.
class EventLog {
 public:
  /// `process` names this process in the merged timeline. `capacity` is the
  /// maximum number of events in the ring buffer.
  EventLog(std::string process, std::size_t capacity, LogOutput output);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Records an event at the current time. `fields` is a JSON object.
  void Record(EventId id, nlohmann::json fields);

  /// Writes the lines that the log did not take before, as far as it takes them
  /// now.
  void Flush();

  /// Does the same before the end of the process, and waits a short time for
  /// the reader of the log.
  void FlushBeforeExit();

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
  /// Records how many lines were omitted, if any, once there is room for it.
  void WriteOmittedCount();

  std::string process_;
  std::size_t capacity_;
  LogOutput output_;
  HybridClock clock_;
  LogRateLimiter limiter_;
  std::uint64_t sequence_ = 0;
  std::deque<EventRecord> ring_;
  std::function<void(const EventRecord&)> observer_;
};

/// Makes an output with one line per event on standard output. With `json` a
/// line is the JSON object alone; otherwise a time and a level precede it.
LogOutput MakeLogger(bool json);

/// Makes such an output with `writer` in place of standard output.
LogOutput MakeLogger(bool json, std::shared_ptr<LineWriter> writer);

/// Makes an output that writes nothing, for tests and tools.
LogOutput MakeNullLogger();

}  // namespace tanagerloom

#endif  // BASE_EVENT_LOG_H_
