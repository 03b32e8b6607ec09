// Defines SoakCalls, which records the requests of a fault soak test and checks
// what their clients and the endpoints observed.
#ifndef TESTS_SUPPORT_SOAK_CALLS_H_
#define TESTS_SUPPORT_SOAK_CALLS_H_

#include <cstdint>
#include <map>
#include <numeric>
#include <string>
#include <vector>

namespace tanagerloom::testing_support {

/// Kinds of request that the soak test sends.
enum class SoakKind { kStream, kPlan, kBooking, kLookup };

constexpr SoakKind kSoakKinds[] = {SoakKind::kStream, SoakKind::kPlan,
                                   SoakKind::kBooking, SoakKind::kLookup};

/// Returns the path prefix of the route for a kind of request.
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

/// Returns whether requests of this kind may run more than once.
inline bool MayRunTwice(SoakKind kind) {
  return kind == SoakKind::kStream || kind == SoakKind::kLookup;
}

/// Returns whether requests of this kind are answered by an event stream.
inline bool IsStream(SoakKind kind) {
  return kind == SoakKind::kStream || kind == SoakKind::kPlan;
}

/// Number of events in each stream.
constexpr int kSoakEvents = 5;

/// Returns the event `id` of the stream for a request. It holds the attempt ID,
/// so that a foreign event is noticed.
inline std::string SoakEvent(const std::string& attempt, int id) {
  return "id: " + std::to_string(id) + "\ndata: " + attempt + " " +
         std::to_string(id) + "\n\n";
}

/// Returns the complete body of the answer to a request.
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

/// One request and what its client received. Times are in milliseconds since
/// the start of the run.
struct SoakCall {
  std::string attempt;
  SoakKind kind = SoakKind::kLookup;
  std::string node;
  std::int64_t sent_ms = 0;
  std::int64_t ended_ms = 0;
  std::int64_t timeout_ms = 0;  ///< Duration that the client allows.
  int status = 0;               ///< 0: no complete answer arrived.
  std::string body;
};

/// A fault that affected one node, or all nodes if `node` is empty.
struct SoakFault {
  std::string node;
  std::int64_t from_ms = 0;
  std::int64_t to_ms = 0;
};

/// The requests and faults of one run.
struct SoakCalls {
  std::vector<SoakCall> calls;
  std::map<std::string, int> runs;  ///< Executions by attempt ID.
  std::vector<SoakFault> faults;    ///< Excludes planned stops and reloads.

  /// Returns whether a fault affected the node during a call or up to `lead_ms`
  /// before it.
  bool IsDisturbed(const SoakCall& call, std::int64_t lead_ms) const {
    for (const auto& it : faults) {
      if ((it.node.empty() || it.node == call.node) &&
          it.from_ms <= call.ended_ms && it.to_ms >= call.sent_ms - lead_ms) {
        return true;
      }
    }
    return false;
  }

  /// Number of times that the endpoints ran a request.
  int RunCount(const SoakCall& call) const {
    const auto it = runs.find(call.attempt);
    return it == runs.end() ? 0 : it->second;
  }

  /// Returns one line for each broken guarantee; empty if all hold.
  std::string Violations() const {
    std::string out;
    std::vector<std::string> lost;
    std::vector<std::string> late;
    for (const auto& it : calls) {
      for (const auto& broken : BrokenGuarantees(it)) {
        out += broken + ": " + Describe(it) + "\n";
      }
      if (IsLost(it)) {
        lost.push_back("lost: " + Describe(it) + "\n");
      }
      if (IsLate(it)) {
        late.push_back("answered late: " + Describe(it) + "\n");
      }
    }
    if (lost.size() > kMaxLost) {
      out = std::accumulate(lost.begin(), lost.end(), out);
    }
    if (late.size() >= kTooManyLate) {
      out = std::accumulate(late.begin(), late.end(), out);
    }
    return out;
  }

 private:
  // The limits that the platform sets.
  // A lost or late answer is excused during a fault of its node and for this
  // time after it.
  static constexpr std::int64_t kContactTimeoutMs = 3000;
  // Number of answers that may be lost with their connections.
  static constexpr std::size_t kMaxLost = 3;
  // Time after its timeout by which a request must be answered.
  static constexpr std::int64_t kLateToleranceMs = 500;
  // Number of late answers from which on the run fails.
  static constexpr std::size_t kTooManyLate = 8;

  // Returns whether the answer states that the request did not and will not
  // run.
  static bool StatesNotRun(const SoakCall& call) {
    return call.status == 503 || call.status == 429 || call.status == 408 ||
           call.status == 421;
  }

  // Returns the guarantees that a call broke, of those that hold under any
  // fault.
  std::vector<std::string> BrokenGuarantees(const SoakCall& call) const {
    std::vector<std::string> out;
    const int run_count = RunCount(call);
    if (run_count > 1 && !MayRunTwice(call.kind)) {
      out.push_back("ran more than once");
    }
    if (StatesNotRun(call) && run_count > 0 && !MayRunTwice(call.kind)) {
      out.push_back("reported as not run but ran");
    }
    if (call.status == 200 && call.body != SoakBody(call.kind, call.attempt)) {
      out.push_back("foreign or truncated answer");
    }
    if (call.status >= 300 && call.status < 500 && !StatesNotRun(call)) {
      out.push_back("unexpected status");
    }
    return out;
  }

  // Returns whether the answer of a request that ran was lost without a fault.
  // Streams are excluded, because an endpoint may break their connection.
  bool IsLost(const SoakCall& call) const {
    return call.status == 0 && RunCount(call) > 0 && !IsStream(call.kind) &&
           !IsDisturbed(call, kContactTimeoutMs);
  }

  // Returns whether a call ended too late without a fault.
  bool IsLate(const SoakCall& call) const {
    return call.ended_ms - call.sent_ms > call.timeout_ms + kLateToleranceMs &&
           !IsDisturbed(call, kContactTimeoutMs);
  }

  std::string Describe(const SoakCall& call) const {
    return call.attempt + " at " + call.node + ", status " +
           std::to_string(call.status) + ", runs " +
           std::to_string(RunCount(call)) + ", sent at " +
           std::to_string(call.sent_ms) + " ms, took " +
           std::to_string(call.ended_ms - call.sent_ms) + " ms";
  }
};

}  // namespace tanagerloom::testing_support

#endif  // TESTS_SUPPORT_SOAK_CALLS_H_
