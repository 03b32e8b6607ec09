// Defines RecordStore, which reads placement records from the object API and
// replaces them by conditional updates.
#ifndef PLACEMENT_RECORD_STORE_H_
#define PLACEMENT_RECORD_STORE_H_

#include <cstdint>
#include <string>

#include "base/error.h"
#include "config/estate.h"
#include "decision/cell_record.h"

namespace tanagerloom {

class EventLog;
class ObjectStore;

/// A record with the object version that holds it; version 0 if none is stored.
struct StoredRecord {
  CellRecord record;
  std::uint64_t version = 0;
  std::string text;  ///< The stored form, if this process wrote it.
};

/// Calls that placement made to the object API.
struct ObjectStoreCalls {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t lost_answers = 0;
  std::uint64_t failures = 0;
};

/// Placement records in the object API, under "cells/NAME".
class RecordStore {
 public:
  RecordStore(ObjectStore& store, EventLog& log);

  /// Reads the record; an empty one with version 0 if there is none.
  Result<StoredRecord> Load(const std::string& cell);

  /// Checks the invariants of `next` and replaces exactly `base`. When the
  /// answer is lost, reads the record back and looks for the write id.
  /// kConflict: another write was first. Any other error: the write may still
  /// take effect, so nothing may be assumed.
  Result<StoredRecord> Replace(const StoredRecord& base,
                               CellRecord next,
                               const Estate& estate);

  const ObjectStoreCalls& calls() const { return calls_; }

 private:
  Result<StoredRecord> ResolveLostAnswer(const std::string& cell,
                                         const std::string& write_id);
  Error LogFailure(const char* call, Error error);

  ObjectStore& store_;
  EventLog& log_;
  ObjectStoreCalls calls_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_RECORD_STORE_H_
