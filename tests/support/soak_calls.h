// Defines SoakCalls, the requests of a fault soak, and the checks of what their
// clients and the endpoints saw of them.
#ifndef TESTS_SUPPORT_SOAK_CALLS_H_
#define TESTS_SUPPORT_SOAK_CALLS_H_

#include <cstdint>
#include <map>
#include <numeric>
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
    std::string out;
    std::vector<std::string> lost;
    std::vector<std::string> late;
    for (const auto& it : calls) {
      for (const auto& broken : BrokenBy(it)) {
        out += broken + ": " + Describe(it) + "\n";
      }
      if (Lost(it)) {
        lost.push_back("lost: " + Describe(it) + "\n");
      }
      if (Late(it)) {
        late.push_back("answered late: " + Describe(it) + "\n");
      }
    }
    if (lost.size() > kMostLost) {
      out = std::accumulate(lost.begin(), lost.end(), out);
    }
    if (late.size() >= kMostLate) {
      out = std::accumulate(late.begin(), late.end(), out);
    }
    return out;
  }

 private:
  // The platform's bounds: a node out of touch for less than the first is
  // excused, as is one after it; answers that connections may lose; the time
  // after its own in which a request has to be answered, and how many may miss
  // it.
  static constexpr std::int64_t kContactMs = 3000;
  static constexpr std::size_t kMostLost = 3;
  static constexpr std::int64_t kLateMs = 500;
  static constexpr std::size_t kMostLate = 8;

  // Whether the answer says that the request has not run and will not.
  static bool PromisesNotRun(const SoakCall& call) {
    return call.status == 503 || call.status == 429 || call.status == 408 ||
           call.status == 421;
  }

  // The promises that hold in any disturbance.
  std::vector<std::string> BrokenBy(const SoakCall& call) const {
    std::vector<std::string> out;
    const int n = RunsOf(call);
    if (n > 1 && !MayRunTwice(call.kind)) {
      out.push_back("ran twice");
    }
    if (PromisesNotRun(call) && n > 0 && !MayRunTwice(call.kind)) {
      out.push_back("said not to have run");
    }
    if (call.status == 200 && call.body != SoakBody(call.kind, call.attempt)) {
      out.push_back("another answer or part of one");
    }
    if (call.status >= 300 && call.status < 500 && !PromisesNotRun(call)) {
      out.push_back("denied");
    }
    return out;
  }

  // A stream whose endpoint broke off may end without its end.
  bool Lost(const SoakCall& call) const {
    return call.status == 0 && RunsOf(call) > 0 && !IsStream(call.kind) &&
           !Disturbed(call, kContactMs);
  }

  bool Late(const SoakCall& call) const {
    return call.ended_ms - call.sent_ms > call.time_ms + kLateMs &&
           !Disturbed(call, kContactMs);
  }

  std::string Describe(const SoakCall& call) const {
    return call.attempt + " at " + call.node + ", status " +
           std::to_string(call.status) + ", runs " +
           std::to_string(RunsOf(call)) + ", sent at " +
           std::to_string(call.sent_ms) + " ms, took " +
           std::to_string(call.ended_ms - call.sent_ms) + " ms";
  }
};

}  // namespace tanagerloom::testing_support

#endif  // TESTS_SUPPORT_SOAK_CALLS_H_
