#include "base/event_log.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/null_sink.h>
#include <unistd.h>

#include <chrono>
#include <utility>

#include "base/events.h"
#include "base/line_writer.h"

namespace tanagerloom {

namespace {

// Max time that the end of the process waits for the reader of the log.
constexpr std::chrono::milliseconds kExitFlushTimeout{100};

// Passes formatted lines to a LineWriter.
class LineWriterSink final
    : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit LineWriterSink(std::shared_ptr<LineWriter> writer)
      : writer_(std::move(writer)) {}

 private:
  void sink_it_(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t buf;
    formatter_->format(message, buf);
    writer_->Write({buf.data(), buf.size()});
  }
  void flush_() override { writer_->Flush(); }

  std::shared_ptr<LineWriter> writer_;
};

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

EventLog::EventLog(std::string process, std::size_t capacity, LogOutput output)
    : process_(std::move(process)),
      capacity_(capacity),
      output_(std::move(output)) {}

EventLog::~EventLog() = default;

void EventLog::Record(EventId id, nlohmann::json fields) {
  EventRecord record{clock_.Now(), ++sequence_, id, std::move(fields)};
  if (output_.logger->should_log(LevelOf(id.severity)) &&
      limiter_.Allow(id.severity, std::chrono::steady_clock::now())) {
    WriteOmittedCount();
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
  output_.logger->log(
      LevelOf(record.id.severity),
      record.ToJson(process_).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace));
}

void EventLog::WriteOmittedCount() {
  auto* writer = output_.writer.get();
  if (writer != nullptr && writer->IsCongested()) {
    return;  // The line with the count could be dropped itself.
  }
  const auto dropped = writer == nullptr ? 0 : writer->TakeDroppedCount();
  if (const auto omitted = limiter_.TakeOmittedCount() + dropped) {
    Write({clock_.Now(),
           ++sequence_,
           events::kEventsOmitted,
           {{"lines", omitted}}});
  }
}

void EventLog::Flush() {
  if (output_.writer != nullptr) {
    output_.writer->Flush();
    if (output_.writer->dropped_count() > 0) {
      WriteOmittedCount();
    }
  }
}

void EventLog::FlushBeforeExit() {
  if (output_.writer != nullptr) {
    output_.writer->FlushWithin(kExitFlushTimeout);
  }
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

LogOutput MakeLogger(bool json) {
  return MakeLogger(json, std::make_shared<LineWriter>(STDOUT_FILENO));
}

LogOutput MakeLogger(bool json, std::shared_ptr<LineWriter> writer) {
  auto logger = std::make_shared<spdlog::logger>(
      "tanagerloom", std::make_shared<LineWriterSink>(writer));
  logger->set_pattern(json ? "%v" : "%Y-%m-%d %H:%M:%S.%e %l %v");
  return {std::move(logger), std::move(writer)};
}

LogOutput MakeNullLogger() {
  return {std::make_shared<spdlog::logger>(
              "null", std::make_shared<spdlog::sinks::null_sink_st>()),
          nullptr};
}

}  // namespace tanagerloom
