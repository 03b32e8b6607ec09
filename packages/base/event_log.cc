#include "base/event_log.h"

#include <spdlog/logger.h>
#include <spdlog/sinks/null_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <chrono>
#include <utility>

#include "base/events.h"

namespace tanagerloom {

namespace {

spdlog::level::level_enum LevelOf(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return spdlog::level::debug;
    case Severity::kInfo:
      return spdlog::level::info;
    case Severity::kWarning:
      return spdlog::level::warn;
    case Severity::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

}  // namespace

nlohmann::json EventRecord::ToJson(const std::string& process) const {
  return {{"time_us", time.micros}, {"counter", time.counter},
          {"sequence", sequence},   {"process", process},
          {"number", id.number},    {"event", id.name},
          {"fields", fields}};
}

EventLog::EventLog(std::string process,
                   std::size_t capacity,
                   std::shared_ptr<spdlog::logger> logger)
    : process_(std::move(process)),
      capacity_(capacity),
      logger_(std::move(logger)) {}

EventLog::~EventLog() = default;

void EventLog::Record(EventId id, nlohmann::json fields) {
  EventRecord record{clock_.Now(), ++sequence_, id, std::move(fields)};
  if (logger_->should_log(LevelOf(id.severity)) &&
      limiter_.Allow(id.severity, std::chrono::steady_clock::now())) {
    if (const auto omitted = limiter_.TakeOmittedCount()) {
      Write({clock_.Now(),
             ++sequence_,
             events::kEventsOmitted,
             {{"lines", omitted}}});
    }
    Write(record);
  }
  if (observer_) {
    observer_(record);
  }
  ring_.push_back(std::move(record));
  if (ring_.size() > capacity_) {
    ring_.pop_front();
  }
}

void EventLog::Write(const EventRecord& record) {
  logger_->log(LevelOf(record.id.severity),
               record.ToJson(process_).dump(
                   -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

void EventLog::SetObserver(std::function<void(const EventRecord&)> observer) {
  observer_ = std::move(observer);
}

std::vector<EventRecord> EventLog::Since(std::uint64_t after) const {
  std::vector<EventRecord> out;
  for (const auto& it : ring_) {
    if (it.sequence > after) {
      out.push_back(it);
    }
  }
  return out;
}

std::shared_ptr<spdlog::logger> MakeLogger(bool json) {
  auto sink = std::make_shared<spdlog::sinks::stdout_sink_st>();
  auto logger = std::make_shared<spdlog::logger>("tanagerloom", sink);
  logger->set_pattern(json ? "%v" : "%Y-%m-%d %H:%M:%S.%e %l %v");
  return logger;
}

std::shared_ptr<spdlog::logger> MakeNullLogger() {
  return std::make_shared<spdlog::logger>(
      "null", std::make_shared<spdlog::sinks::null_sink_st>());
}

}  // namespace tanagerloom
