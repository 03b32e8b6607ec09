// Defines Ledger, the record of what an endpoint stand-in did, as a list of
// JSON events. It can also be kept in a file, so that it survives a crash of
// the process.
#ifndef TESTING_SUPPORT_LEDGER_H_
#define TESTING_SUPPORT_LEDGER_H_

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace tanagerloom::testing_support {

/// An append-only list of events, each with its "kind" and "at_ms".
class Ledger {
 public:
  /// Reads the events of an earlier process from the file `path` and appends to
  /// it. An empty path keeps the ledger in memory only.
  explicit Ledger(const std::string& path);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  /// Appends an event with its kind and the current time, and flushes the file.
  void Add(const char* kind, nlohmann::json event);

  const nlohmann::json& events() const { return events_; }

 private:
  nlohmann::json events_ = nlohmann::json::array();
  std::FILE* file_ = nullptr;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_SUPPORT_LEDGER_H_
