// Defines OrderLease, the stored lease under which one node at a time orders
// the engines. Engines do not check who orders them, so no two nodes may.
#ifndef ORDERING_ORDER_LEASE_H_
#define ORDERING_ORDER_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "ports/object_store.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

class EventLog;
class PeerNetwork;

/// Times of the lease.
struct LeaseTiming {
  /// From the sending of a renewal until the holder may send no more orders.
  Duration validity = std::chrono::milliseconds(1600);
  /// Between two renewals; three of them may fail before the lease ends.
  Duration renewal_interval = std::chrono::milliseconds(500);
  /// Time that an order may take on its way: none is sent later than this
  /// before the end of the lease.
  Duration order_delivery = std::chrono::milliseconds(400);
  /// Between the last order of one holder and the first of the next.
  Duration handover_gap = std::chrono::milliseconds(3000);
};

/// The lease, an object that the holder replaces in turn. It counts from the
/// moment at which a renewal was sent, on a clock that goes on while the VM is
/// suspended; no time of day is compared. A holder that stops tells when it
/// ordered which engine, so that its successor waits only for those. Answers
/// holders that die, freeze, are cut off from the store, or whose renewal's
/// answer is lost.
class OrderLease {
 public:
  OrderLease(ObjectStore& store,
             PeerNetwork& peers,
             Clock& clock,
             EventLog& log,
             std::string key,
             LeaseTiming timing);

  /// Keeps or awaits the lease until Stop(); call it on a fiber.
  void Run();

  /// Gives the lease up, so that another node takes it without waiting for its
  /// end, and ends Run().
  void Stop();

  /// Whether this node may send an order now, to any engine or to this one.
  bool MaySendOrder() const;
  bool MaySendOrder(const std::string& engine) const;

  /// Time until an engine is free of the orders of the last holder.
  Duration RemainingWait(const std::string& engine) const;

  /// Notes that an order to `engine` is about to be sent.
  void RecordOrder(const std::string& engine);

  /// Whether this node holds the lease, as far as it knows.
  bool is_holder() const { return is_holder_; }

  /// Rises with each change of the holder.
  std::uint64_t fence() const { return fence_; }

  /// The node that holds the lease, as far as known; empty if unknown.
  const std::string& holder() const { return holder_; }

  /// Signalled when the holder changes.
  EventFlag& changed() { return changed_; }

  /// Takes a notice from the holder.
  void OnNotice(const LeaseNotice& notice);

 private:
  /// Time until each engine may be ordered; engines not named may be at once.
  using EngineWaits = std::map<std::string, Duration, std::less<>>;

  /// What a new holder has to wait for, from the sending of its first write.
  struct Handover {
    Duration before_any_order{};  ///< Before any order.
    EngineWaits engine_waits;     ///< Before an order to these.
    /// Until the orders of earlier holders, or of an earlier process of this
    /// VM, no longer count at engines that are not named.
    Duration unnamed_engines{};
  };

  struct ObservedLease {
    std::uint64_t revision = 0;
    TimePoint observed_at{};  ///< By SuspendAwareNow().
  };

  void Renew();
  void OnRenewed(std::uint64_t revision, TimePoint sent_at);
  /// Looks at the stored lease after a renewal without a clear outcome.
  void ReadBack(TimePoint sent_at);
  void Lose(const std::string& cause);
  void Follow();
  void TryTake();
  void Take(std::uint64_t expected_version,
            std::uint64_t fence,
            const Handover& handover);
  /// Whether the orders of earlier holders no longer count at any engine.
  bool IsHandoverComplete(TimePoint now) const;
  /// What a successor has to wait for at each engine.
  EngineWaits WaitsAfterRelease(TimePoint now) const;
  Duration TakeoverTimeout() const;
  std::string SerializeLease(bool released) const;
  void Announce();
  void SleepUnlessStopping(Duration duration);

  ObjectStore& store_;
  PeerNetwork& peers_;
  Clock& clock_;
  EventLog& log_;
  std::string key_;
  LeaseTiming timing_;

  bool is_holder_ = false;
  bool stopping_ = false;
  std::uint64_t fence_ = 0;
  std::uint64_t renewals_sent_ =
      0;  ///< Sent under this fence; tells them apart.
  std::uint64_t stored_revision_ = 0;
  std::string holder_;
  TimePoint last_renewal_sent_at_{};  ///< Of the last renewal that was stored.
  TimePoint
      last_renewal_attempt_at_{};  ///< Of the last renewal that was tried.
  TimePoint
      orders_allowed_at_{};  ///< Earlier, the last holder's orders may count.
  /// From here on a release can name all engines that still have to wait.
  TimePoint release_lists_all_at_{};
  /// Later than orders_from_ for engines that a releasing holder named.
  std::map<std::string, TimePoint, std::less<>> engine_free_at_;
  /// Of this process, by engine.
  std::map<std::string, TimePoint, std::less<>> last_order_at_;
  std::optional<ObservedLease> observed_;  ///< The lease of another holder.
  bool lease_read_ = false;  ///< The stored lease was read since the start.
  EventFlag changed_;
};

}  // namespace tanagerloom

#endif  // ORDERING_ORDER_LEASE_H_
