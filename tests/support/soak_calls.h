// Defines SoakCalls, the requests of a fault soak, and the checks of what their
// clients and the endpoints saw of them.
#ifndef TESTS_SUPPORT_SOAK_CALLS_H_
#define TESTS_SUPPORT_SOAK_CALLS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerloom::testing_support {

/// Kinds of request that the soak sends.
enum class SoakKind { kStream, kPlan, kBooking, kLookup };

constexpr SoakKind kSoakKinds[] = {SoakKind::kStream, SoakKind::kPlan,
                                   SoakKind::kBooking, SoakKind::kLookup};

inline std::string PathOf(SoakKind kind) {
  switch (kind) {
    case SoakKind::kStream:
      return "/stream/";
    case SoakKind::kPlan:
      return "/plan/";
    case SoakKind::kBooking:
      return "/book/";
    case SoakKind::kLookup:
      return "/look/";
  }
  return "";
}

inline bool MayRunTwice(SoakKind kind) {
  return kind == SoakKind::kStream || kind == SoakKind::kLookup;
}

inline bool IsStream(SoakKind kind) {
  return kind == SoakKind::kStream || kind == SoakKind::kPlan;
}

/// Events of each stream.
constexpr int kSoakEvents = 5;

/// The event that an endpoint makes for a request; each names its request.
inline std::string SoakEvent(const std::string& attempt, int id) {
  return "id: " + std::to_string(id) + "\ndata: " + attempt + " " +
         std::to_string(id) + "\n\n";
}

/// The whole body of the answer to a request.
inline std::string SoakBody(SoakKind kind, const std::string& attempt) {
  if (!IsStream(kind)) {
    return "answer to " + attempt;
  }
  std::string out;
  for (int i = 1; i <= kSoakEvents; ++i) {
    out += SoakEvent(attempt, i);
  }
  return out;
}

/// One request and what its client got.
struct SoakCall {
  std::string attempt;
  SoakKind kind = SoakKind::kLookup;
  std::string node;
  std::int64_t sent_ms = 0;
  std::int64_t ended_ms = 0;
  std::int64_t time_ms = 0;  ///< That the client gave it.
  int status = 0;            ///< 0: the connection ended without an answer.
  std::string body;
};

/// A fault of one node, or of all for an empty name.
struct SoakFault {
  std::string node;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// All requests of a run.
struct SoakCalls {
  std::vector<SoakCall> calls;
  std::map<std::string, int> runs;  ///< At all endpoints, by request.
  std::vector<SoakFault> faults;    ///< Without planned stops and reloads.

  /// Whether a fault touched the node within `lead_ms` before or during a call.
  bool Disturbed(const SoakCall& call, std::int64_t lead_ms) const {
    for (const auto& it : faults) {
      if ((it.node.empty() || it.node == call.node) &&
          it.from_ms <= call.ended_ms && it.to_ms >= call.sent_ms - lead_ms) {
        return true;
      }
    }
    return false;
  }

  int RunsOf(const SoakCall& call) const {
    const auto it = runs.find(call.attempt);
    return it == runs.end() ? 0 : it->second;
  }

  /// One line for each broken promise; empty if all were kept.
  std::string Violations() const {
    // A node out of touch for less than this is excused, as is one after it.
    constexpr std::int64_t kContactMs = 3000;
    // Answers that a few connections may lose, and the time after its own in
    // which a request has to be answered: the platform's bounds.
    constexpr int kMostLost = 3;
    constexpr std::int64_t kLateMs = 500;
    constexpr int kMostLate = 8;
    std::string out;
    std::string lost;
    std::string late;
    int lost_calls = 0;
    int late_calls = 0;
    for (const auto& it : calls) {
      const int n = RunsOf(it);
      const auto text = it.attempt + " at " + it.node + ", status " +
                        std::to_string(it.status) + ", runs " +
                        std::to_string(n) + ", sent at " +
                        std::to_string(it.sent_ms) + " ms, took " +
                        std::to_string(it.ended_ms - it.sent_ms) + " ms\n";
      if (n > 1 && !MayRunTwice(it.kind)) {
        out += "ran twice: " + text;
      }
      const bool promised = it.status == 503 || it.status == 429 ||
                            it.status == 408 || it.status == 421;
      if (promised && n > 0 && !MayRunTwice(it.kind)) {
        out += "said not to have run: " + text;
      }
      if (it.status == 200 && it.body != SoakBody(it.kind, it.attempt)) {
        out += "another answer or part of one: " + text;
      }
      if (it.status >= 300 && it.status < 500 && !promised) {
        out += "denied: " + text;
      }
      // A stream whose endpoint broke off may end without its end.
      if (it.status == 0 && n > 0 && !IsStream(it.kind) &&
          !Disturbed(it, kContactMs)) {
        ++lost_calls;
        lost += "lost: " + text;
      }
      if (it.ended_ms - it.sent_ms > it.time_ms + kLateMs &&
          !Disturbed(it, kContactMs)) {
        ++late_calls;
        late += "answered late: " + text;
      }
    }
    if (lost_calls > kMostLost) {
      out += lost;
    }
    if (late_calls >= kMostLate) {
      out += late;
    }
    return out;
  }
};

}  // namespace tanagerloom::testing_support

#endif  // TESTS_SUPPORT_SOAK_CALLS_H_
