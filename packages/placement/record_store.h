// Defines RecordStore, which reads placement records from the object store and
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

/// A placement record with the version of its object; 0 if none is stored.
struct StoredRecord {
  CellRecord record;
  std::uint64_t version = 0;
  std::string
      text;  ///< Serialized record if this process wrote it, else empty.
};

/// Counts of the calls that placement made to the object store.
struct ObjectStoreCalls {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t conflicts = 0;     ///< Writes that lost to another write.
  std::uint64_t lost_answers = 0;  ///< Writes whose result was unknown.
  std::uint64_t failures = 0;      ///< Calls that failed for other reasons.
};

/// Loads and replaces the placement records under "cells/NAME".
class RecordStore {
 public:
  RecordStore(ObjectStore& store, EventLog& log);

  /// Reads the record of a cell. Returns an empty record with version 0 if none
  /// is stored.
  Result<StoredRecord> Load(const std::string& cell);

  /// Checks the invariants of `next` and stores it if the stored record is
  /// still `base`. When the response is lost, reads the record back and looks
  /// for the id of the write. Fails with kConflict if another write came first.
  /// After any other error the write may still take effect, so the caller must
  /// assume neither outcome.
  Result<StoredRecord> Replace(const StoredRecord& base,
                               CellRecord next,
                               const Estate& estate);

  const ObjectStoreCalls& calls() const { return calls_; }

 private:
  /// Finds out by reading back whether a write without a response took effect.
  Result<StoredRecord> ResolveLostAnswer(const std::string& cell,
                                         const std::string& write_id);
  /// Counts and logs a failed call and returns its error.
  Error LogFailure(const char* call, Error error);

  ObjectStore& store_;
  EventLog& log_;
  ObjectStoreCalls calls_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_RECORD_STORE_H_
