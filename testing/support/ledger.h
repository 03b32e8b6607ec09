// Defines Ledger: what an endpoint stand-in did, as a list of JSON events. It
// can be kept in a file as well, so that it survives a crash of the process.
#ifndef TESTING_SUPPORT_LEDGER_H_
#define TESTING_SUPPORT_LEDGER_H_

#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace tanagerloom::testing_support {

/// An append-only list of events, each with its "kind" and "at_ms".
class Ledger {
 public:
  /// Reads the events that an earlier process left in `path`; an empty path
  /// keeps the ledger in memory only.
  explicit Ledger(const std::string& path);
  ~Ledger();
  Ledger(const Ledger&) = delete;
  Ledger& operator=(const Ledger&) = delete;

  void Add(const char* kind, nlohmann::json event);

  const nlohmann::json& events() const { return events_; }

 private:
  nlohmann::json events_ = nlohmann::json::array();
  std::FILE* file_ = nullptr;
};

}  // namespace tanagerloom::testing_support

#endif  // TESTING_SUPPORT_LEDGER_H_
