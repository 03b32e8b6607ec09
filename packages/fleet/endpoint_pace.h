// Defines EndpointPace, which limits how fast the nodes load an endpoint that
// has just started or recovered, by how it answers.
#ifndef FLEET_ENDPOINT_PACE_H_
#define FLEET_ENDPOINT_PACE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

#include "runtime/clock.h"

namespace tanagerloom {

/// Why an endpoint is paced.
enum class PaceCause {
  kStart,     ///< It has started, or says that it is still slow from its start.
  kRecovery,  ///< It could not be reached, or wanted a pause.
  kWakeUp,    ///< It left several requests without an answer.
  kRefusals,  ///< It refused several requests in a row.
};

/// Returns the name of a cause in events.
std::string_view PaceCauseName(PaceCause cause);

/// The nodes that share an endpoint.
struct PaceShare {
  std::uint32_t slots = 1;  ///< Of the endpoint.
  std::size_t nodes = 1;
  /// Rank of this node among the nodes for the endpoint, from 0 to 1: the node
  /// with the lowest rank starts first. A hash of both, so that nodes agree
  /// without messages and each endpoint is started by other nodes.
  double rank = 0;
};

/// Concurrency limit of one start of an endpoint at one node. All nodes
/// together are allowed a number of requests in flight, the allowance. A node
/// that is alone has all of it; while there are more nodes than it allows
/// requests, the nodes of lowest rank have one each. The allowance starts at a
/// part of the endpoint's slots and doubles at intervals; a node whose requests
/// are answered as fast as usual adds one of its own for each. Refusals and
/// slow answers halve both. Without any answer the allowance stays low, but no
/// endpoint is left idle for longer than kMaxIdle.
class EndpointPace {
 public:
  /// Interval at which the allowance doubles. Answers of the first requests
  /// arrive within it.
  static constexpr Duration kDoublingInterval = std::chrono::milliseconds(250);
  /// After this time without an answer or trouble each node sends one request.
  /// The nodes start over its second half.
  static constexpr Duration kMaxIdle = std::chrono::milliseconds(1500);
  /// Time over which the nodes start to use an endpoint if they have no other.
  static constexpr Duration kAloneSpread = std::chrono::milliseconds(300);
  /// First events that take more than this multiple of the usual time are slow.
  static constexpr double kSlowRatio = 4;
  /// Limit of an endpoint that is not paced.
  static constexpr std::uint32_t kNoLimit =
      std::numeric_limits<std::uint32_t>::max();

  /// Starts pacing. The endpoint gets no request before `from`.
  void Begin(PaceCause cause, const PaceShare& share, TimePoint from);

  /// The endpoint says that it is slow from its start until `until`. Its queue
  /// stays empty for that time.
  void SetColdUntil(TimePoint until) { cold_until_ = until; }

  /// The endpoint could not be reached and gets no requests until `until`.
  /// Starts pacing, or starts it anew, unless it is a single failure.
  /// Returns whether the endpoint is paced since then.
  bool OnUnreachable(const PaceShare& share, TimePoint until);

  /// The first event of a request arrived after `ratio` times the usual time.
  /// Returns whether the pace ended.
  bool OnFirstEvent(double ratio, const PaceShare& share, TimePoint now);

  /// The endpoint refused a request because it was full. Starts pacing after
  /// several in a row; returns whether it did.
  bool OnRefused(const PaceShare& share, TimePoint now);

  /// A request got no answer in time. Starts pacing after several in a row;
  /// returns whether it did.
  bool OnSilent(const PaceShare& share, TimePoint now);

  /// Returns how many requests this node may have in flight at the endpoint;
  /// ends the pace once the allowance has reached all nodes and all slots.
  std::uint32_t Limit(const PaceShare& share, TimePoint now);

  /// Returns the limit that holds if no other endpoint can take the request:
  /// each node may then have a request in flight soon after the start.
  std::uint32_t LimitAlone(const PaceShare& share, TimePoint now);

  bool is_active() const { return active_; }
  PaceCause cause() const { return cause_; }

 private:
  /// Number of refusals or silent answers in a row that start the pace, and the
  /// longest time between two of them.
  static constexpr std::uint32_t kTroubleLimit = 3;
  static constexpr Duration kTroubleWindow = std::chrono::seconds(2);
  /// Number of failed connections without an answer between them that start the
  /// pace. A single one is as likely a fault of the network.
  static constexpr std::uint32_t kConnectFailureLimit = 2;
  /// Part of the slots that the allowance starts at.
  static constexpr double kInitialPart = 0.25;
  /// Part of the full allowance that is not exceeded before an answer.
  static constexpr double kUnansweredPart = 0.25;
  /// Requests in flight per slot of the full allowance: the endpoint is busy
  /// and has as many waiting.
  static constexpr double kFullLoad = 2;

  /// Number of times in a row that an endpoint did not serve a request.
  struct TroubleCount {
    std::uint32_t n = 0;
    TimePoint last_at{};

    /// Returns whether this one reaches the limit.
    bool Add(TimePoint now) {
      n = now - last_at > kTroubleWindow ? 1 : n + 1;
      last_at = now;
      return n >= kTroubleLimit;
    }
  };

  static double InitialAllowance(const PaceShare& share);
  /// Returns the allowance below which it is not halved.
  double MinAllowance(const PaceShare& share) const;
  /// Returns the allowance at which nothing is limited.
  static double FullAllowance(const PaceShare& share);
  /// Applies the growth over time until `now`.
  void Grow(const PaceShare& share, TimePoint now);
  void Halve(const PaceShare& share, TimePoint now);
  bool EndIfFull(const PaceShare& share, TimePoint now);

  bool active_ = false;
  PaceCause cause_ = PaceCause::kStart;
  bool answered_ = false;  ///< Since the pace began.
  double allowance_ = 0;
  double earned_ = 0;        ///< Requests of this node beyond its part.
  TimePoint grown_until_{};  ///< In the future while the growth stands still.
  TimePoint from_{};         ///< No request is sent before.
  TimePoint cold_until_{};
  TimePoint halved_at_{};
  /// When the pace began or the endpoint was last in trouble.
  TimePoint idle_since_{};
  TroubleCount refusals_;
  TroubleCount silences_;
  /// Failed connections since the last answer.
  std::uint32_t connect_failures_ = 0;
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_PACE_H_
