// Defines CrashGuard, which recognises requests that crash endpoints, together
// with the other nodes, and tells which requests must not be sent any more.
#ifndef FORWARDING_CRASH_GUARD_H_
#define FORWARDING_CRASH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/crash_suspects.h"

namespace tanagerloom {

class Clock;
class EventLog;
class PeerNetwork;
struct CrashNotice;
struct HttpRequest;
struct RequestProfile;

/// A part of a prompt in crash counts.
struct PromptPartFingerprint {
  std::string part;  ///< Id of the part.
  std::uint64_t value = 0;
};

/// What may crash endpoints again and again: the whole request, or a part of
/// its prompt that other requests share.
struct RequestFingerprints {
  std::uint64_t request = 0;  ///< Equal for equal requests.
  std::vector<PromptPartFingerprint> prompt_parts;
};

/// Returns the fingerprints of a client request.
RequestFingerprints FingerprintsOf(const HttpRequest& request,
                                   const RequestProfile& profile);

/// A crash of an endpoint that ran a request.
struct EndpointCrash {
  std::string request;  ///< Id of the request.
  std::string endpoint;
  RequestFingerprints fingerprints;
  /// The endpoint had begun to answer, so it had read the whole prompt before.
  bool answering = false;
  std::uint64_t boot = 0;  ///< Start of the endpoint that ended.
};

/// Counts crashes, announces them to the peers, and adds those of the peers.
class CrashGuard {
 public:
  CrashGuard(PeerNetwork& peers, Clock& clock, EventLog& log);

  /// Returns whether the request must be refused.
  bool IsQuarantined(const RequestFingerprints& fingerprints) const;

  /// Returns whether the request must wait: crashes followed equal requests,
  /// and one of them runs at this node without an outcome yet. So a request
  /// that crashes endpoints reaches one of them at a time, also if many equal
  /// ones waited for the same model.
  bool MustWait(std::uint64_t request) const;

  /// A run of the request begins, or it has an outcome.
  void BeginRun(std::uint64_t request);
  void EndRun(std::uint64_t request);

  /// Returns whether a crash was counted for the request.
  bool IsSuspected(const RequestFingerprints& fingerprints) const;

  /// The client of a run left before the run had an outcome. Returns whether
  /// the request is suspected or such a run of an equal one was seen before, so
  /// that its outcome matters.
  bool OnAbandonedRun(const RequestFingerprints& fingerprints);

  /// Counts a crash for the request that ran at the endpoint.
  void OnCrash(const EndpointCrash& crash);

  /// An endpoint began to answer the request, so that no part of its prompt
  /// crashes endpoints.
  void OnAnswering(const RequestFingerprints& fingerprints);

  /// The request ran to its end without crashing its endpoint.
  void OnCompleted(const RequestFingerprints& fingerprints);

  /// Announces the crashes of all requests that are refused. Call it from time
  /// to time: a peer that started later, or that a notice did not reach, would
  /// send such requests to endpoints until they have crashed as many again.
  void AnnounceQuarantined();

  /// Number of fingerprints that are refused.
  std::size_t QuarantinedCount() const;

  /// Adds the crashes that a peer knows of, or resets a count.
  void OnNotice(const CrashNotice& notice);

 private:
  /// Counts a crash for one fingerprint and returns the count.
  std::uint32_t Count(CrashSuspects& table,
                      std::uint64_t fingerprint,
                      std::uint64_t crash_id);
  /// Announces what this node knows of the crashes of a fingerprint.
  void Announce(const CrashSuspects& table, const Suspect& suspect);
  void Prove(CrashSuspects& table, std::uint64_t fingerprint);
  /// Records that the count of a fingerprint was reset, if there was one.
  void RecordReset(const CrashSuspects& table,
                   std::uint64_t fingerprint,
                   std::string_view source);
  /// Records that requests with the fingerprint are refused from now on, unless
  /// they were `refused` before or are not now.
  void RecordQuarantine(const CrashSuspects& table,
                        std::uint64_t fingerprint,
                        bool refused);

  PeerNetwork& peers_;
  Clock& clock_;
  EventLog& log_;
  CrashSuspects requests_;
  CrashSuspects prompt_parts_;
  /// Numbers of runs at this node without an outcome, by request.
  std::map<std::uint64_t, std::size_t> runs_;
  /// When the client of a run left last, by request.
  std::map<std::uint64_t, TimePoint> abandoned_;
  std::size_t next_announced_ = 0;  ///< Of the list of refused requests.
};

}  // namespace tanagerloom

#endif  // FORWARDING_CRASH_GUARD_H_
