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
  Duration renewal = std::chrono::milliseconds(500);
  /// Time that an order may take on its way: none is sent later than this
  /// before the end of the lease.
  Duration order_time = std::chrono::milliseconds(400);
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
  bool MayOrder() const;
  bool MayOrder(const std::string& engine) const;

  /// Time until an engine is free of the orders of the last holder.
  Duration WaitFor(const std::string& engine) const;

  /// Notes that an order to `engine` is about to be sent.
  void OnOrder(const std::string& engine);

  /// Whether this node holds the lease, as far as it knows.
  bool holding() const { return holding_; }

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
    Duration all{};       ///< Before any order.
    EngineWaits engines;  ///< Before an order to these.
    /// Until the orders of earlier holders, or of an earlier process of this
    /// VM, no longer count at engines that are not named.
    Duration unnamed{};
  };

  struct Seen {
    std::uint64_t revision = 0;
    TimePoint at{};  ///< By SuspendAwareNow().
  };

  void Renew();
  void OnRenewed(std::uint64_t revision, TimePoint sent);
  /// Looks at the stored lease after a renewal without a clear outcome.
  void ReadBack(TimePoint sent);
  void Lose(const std::string& cause);
  void Follow();
  void TryTake();
  void Take(std::uint64_t expected_version,
            std::uint64_t fence,
            const Handover& handover);
  /// Whether the orders of earlier holders no longer count at any engine.
  bool Settled(TimePoint now) const;
  /// What a successor has to wait for at each engine.
  EngineWaits WaitsAfterRelease(TimePoint now) const;
  Duration Patience() const;
  std::string Value(bool released) const;
  void Announce();
  void Await(Duration duration);

  ObjectStore& store_;
  PeerNetwork& peers_;
  Clock& clock_;
  EventLog& log_;
  std::string key_;
  LeaseTiming timing_;

  bool holding_ = false;
  bool stopping_ = false;
  std::uint64_t fence_ = 0;
  std::uint64_t renewals_ = 0;  ///< Sent under this fence; tells them apart.
  std::uint64_t revision_ = 0;
  std::string holder_;
  TimePoint sent_{};         ///< Of the last renewal that was stored.
  TimePoint attempted_{};    ///< Of the last renewal that was tried.
  TimePoint orders_from_{};  ///< Earlier, the last holder's orders may count.
  /// From here on a release can name all engines that still have to wait.
  TimePoint names_all_from_{};
  /// Later than orders_from_ for engines that a releasing holder named.
  std::map<std::string, TimePoint, std::less<>> engine_from_;
  /// Of this process, by engine.
  std::map<std::string, TimePoint, std::less<>> last_orders_;
  std::optional<Seen> seen_;  ///< The lease of another holder.
  bool looked_ = false;       ///< The stored lease was read since the start.
  EventFlag changed_;
};

}  // namespace tanagerloom

#endif  // ORDERING_ORDER_LEASE_H_
