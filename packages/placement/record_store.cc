#include "placement/record_store.h"

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "decision/record_operations.h"
#include "ports/object_store.h"

namespace tanagerloom {

namespace {

std::string KeyOf(const std::string& cell) {
  return "cells/" + cell;
}

}  // namespace

RecordStore::RecordStore(ObjectStore& store, EventLog& log)
    : store_(store), log_(log) {}

Result<StoredRecord> RecordStore::Load(const std::string& cell) {
  ++calls_.reads;
  auto object = store_.Get(KeyOf(cell));
  if (!object) {
    auto error = std::move(object).assume_error();
    if (error.kind == ErrorKind::kNotFound) {
      StoredRecord empty;
      empty.record.cell = cell;
      return empty;
    }
    return LogFailure("get", std::move(error));
  }
  BOOST_OUTCOME_TRY(record, ParseRecord(object.assume_value().value));
  return StoredRecord{std::move(record), object.assume_value().version, ""};
}

Result<StoredRecord> RecordStore::Replace(const StoredRecord& base,
                                          CellRecord next,
                                          const Estate& estate) {
  const auto write_id = NewId("w-");
  StampWrite(next, write_id);
  CheckRecord(base.record, next, estate);
  ++calls_.writes;
  auto text = SerializeRecord(next);
  auto version = store_.Put(KeyOf(next.cell), text, base.version);
  if (version) {
    return StoredRecord{std::move(next), version.assume_value(),
                        std::move(text)};
  }
  auto error = std::move(version).assume_error();
  switch (error.kind) {
    case ErrorKind::kConflict:
      ++calls_.conflicts;
      log_.Record(events::kDecisionConflict, {{"cell", next.cell}});
      return error;
    case ErrorKind::kUnknown:
    case ErrorKind::kTimeout:
      ++calls_.lost_answers;
      return ResolveLostAnswer(next.cell, write_id);
    default:
      return LogFailure("put", std::move(error));
  }
}

Result<StoredRecord> RecordStore::ResolveLostAnswer(
    const std::string& cell,
    const std::string& write_id) {
  BOOST_OUTCOME_TRY(stored, Load(cell));
  if (stored.record.HasWrite(write_id)) {
    return std::move(stored);
  }
  return MakeError(ErrorKind::kUnknown,
                   "cells/" + cell + ": write " + write_id +
                       " was not found when the record was read back");
}

Error RecordStore::LogFailure(const char* call, Error error) {
  ++calls_.failures;
  log_.Record(events::kPlatformUnavailable,
              {{"call", call}, {"cause", error.message}});
  return error;
}

}  // namespace tanagerloom
