// Defines EventLog: where a process records its numbered events. Each goes to
// the log and into a bounded ring, from which the time line is served.
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
#include "base/line_limiter.h"

namespace spdlog {
class logger;
}

namespace tanagerloom {

/// One recorded event.
struct EventRecord {
  HybridTime time;
  std::uint64_t sequence = 0;
  EventId id{};
  nlohmann::json fields;

  /// The event as one JSON object.
  nlohmann::json ToJson(const std::string& process) const;
};

/// Records events in a ring and writes them to the process's log.
class EventLog {
 public:
  /// `process` names this process in the merged time line. `capacity` bounds
  /// the ring, in events.
  EventLog(std::string process,
           std::size_t capacity,
           std::shared_ptr<spdlog::logger> logger);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  /// Records an event. `fields` is a JSON object.
  void Record(EventId id, nlohmann::json fields);

  /// Calls `observer` with every event recorded from now on; replaces an
  /// earlier one.
  void SetObserver(std::function<void(const EventRecord&)> observer);

  /// Events with a sequence number above `after`, oldest first.
  std::vector<EventRecord> Since(std::uint64_t after) const;

  HybridClock& clock() { return clock_; }
  const std::string& process() const { return process_; }

 private:
  void Write(const EventRecord& record);

  std::string process_;
  std::size_t capacity_;
  std::shared_ptr<spdlog::logger> logger_;
  HybridClock clock_;
  LineLimiter limiter_;
  std::uint64_t sequence_ = 0;
  std::deque<EventRecord> ring_;
  std::function<void(const EventRecord&)> observer_;
};

/// Makes a logger that writes one line an event to standard output: JSON, or
/// text if `json` is false.
std::shared_ptr<spdlog::logger> MakeLogger(bool json);

/// A logger that writes nothing, for tests and tools.
std::shared_ptr<spdlog::logger> MakeNullLogger();

}  // namespace tanagerloom

#endif  // BASE_EVENT_LOG_H_
