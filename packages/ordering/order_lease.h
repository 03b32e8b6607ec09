// Defines OrderLease, a lease in the object store that gives one node at a time
// the right to send orders to engines. Engines do not check who sends an order,
// so the lease alone prevents two nodes from sending conflicting ones.
#ifndef ORDERING_ORDER_LEASE_H_
#define ORDERING_ORDER_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "ports/object_store.h"
#include "ports/peer_message.h"
#include "runtime/clock.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

class EventLog;
class PeerNetwork;
class StoreEra;

/// Durations of the lease protocol.
struct LeaseTiming {
  /// How long the lease is valid after the last stored renewal was sent.
  Duration validity = std::chrono::milliseconds(1600);
  /// Interval between renewals; three in a row may fail before the lease ends.
  Duration renewal_interval = std::chrono::milliseconds(500);
  /// Maximum delivery time of an order: none is sent if the lease ends sooner
  /// than this.
  Duration order_delivery = std::chrono::milliseconds(400);
  /// Minimum time between the last order of one lease holder and the first
  /// order of the next.
  Duration handover_gap = std::chrono::milliseconds(3000);
};

/// The order lease, an object that the lease holder replaces periodically. Its
/// validity starts when a renewal is sent, measured by a clock that continues
/// while the VM is suspended; wall-clock times of different nodes are never
/// compared. The stored lease names the engines that may get orders under it or
/// whose last orders still count, so that a successor waits only for those: an
/// order to another engine is sent only after a renewal that names it. A holder
/// that stops also stores how long each still counts. The lease
/// stays safe if the holder crashes, freezes, is disconnected from the store or
/// loses the response to a renewal. A restarted process of the holder's VM
/// takes its lease over at once; a new VM of the same name is another holder.
///
/// In a new era of the store, which came back from an older copy, no earlier
/// lease counts: the holder stops, and the lease is taken anew. What the stored
/// one says of that time may be outdated, so that its new holder assumes that
/// another node renewed a lease until now, and waits until that has ended and
/// for the handover gap.
class OrderLease {
 public:
  /// `key` is the key of the stored lease. `vm_address` tells this VM from a
  /// removed one of the same name.
  OrderLease(ObjectStore& store,
             StoreEra& era,
             PeerNetwork& peers,
             Clock& clock,
             EventLog& log,
             std::string key,
             std::string vm_address,
             LeaseTiming timing);

  /// Renews the lease, or waits to take it, until Stop(). Call it on a fiber.
  void Run();

  /// Releases the lease, so that another node can take it before it expires,
  /// and ends Run().
  void Stop();

  /// Returns whether this node may send an order now, in general or to
  /// `engine`.
  bool MaySendOrder() const;
  bool MaySendOrder(const std::string& engine) const;

  /// Asks for the right to send an order to `engine`: a renewal that names it
  /// follows soon. The request lasts until RecordOrder() or CancelRequest().
  void RequestOrder(const std::string& engine);
  void CancelRequest(const std::string& engine);

  /// Requests the right to send an order to `engine` and waits for it. Returns
  /// false, without a request, if this node does not get it in time.
  bool AwaitOrder(const std::string& engine);

  /// Returns the time until this node may send orders to `engine` because of
  /// the orders of earlier lease holders; 0 if it need not wait for this
  /// engine.
  Duration RemainingWait(const std::string& engine) const;

  /// Records that an order to `engine` is about to be sent.
  void RecordOrder(const std::string& engine);

  /// Returns whether this node assumes that it holds the lease. The lease may
  /// have expired; MaySendOrder() checks that.
  bool is_holder() const { return is_holder_; }

  /// Fencing token of the latest known lease; rises with each change of the
  /// holder.
  std::uint64_t fence() const { return fence_; }

  /// Returns the last known lease holder; empty if unknown.
  const std::string& holder() const { return holder_; }

  /// Signalled when the known lease holder changes.
  EventFlag& changed() { return changed_; }

  /// Takes a notice from a lease holder; one with an older fencing token is
  /// ignored.
  void OnNotice(const LeaseNotice& notice);

 private:
  /// Time until orders may be sent to each engine; engines not listed need no
  /// wait.
  using EngineWaits = std::map<std::string, Duration, std::less<>>;
  using EngineSet = std::set<std::string, std::less<>>;

  /// Waiting times of a new lease holder, counted from the sending of its first
  /// write.
  struct Handover {
    /// Wait before the first order to any engine.
    Duration before_any_order{};
    EngineWaits engine_waits;  ///< Additional waits of single engines.
    /// Time until orders of earlier holders, or of an earlier process of this
    /// VM, no longer count at engines that are not listed.
    Duration unnamed_engines{};
  };

  /// A version of the stored lease and when this node observed it.
  struct ObservedLease {
    std::uint64_t revision = 0;
    TimePoint observed_at{};  ///< Time of the observation by SuspendAwareNow().
  };

  /// Sends a renewal, or sleeps until the next one.
  void Renew();
  /// Stops to hold or observe a lease of an ended era of the store.
  void OnNewEra();
  /// Returns the waits after a holder whose lease has ended.
  Handover AfterEndedLease() const;
  /// Returns the waits after a holder whose lease has ended and named these
  /// engines.
  Handover AfterNamedEngines(const EngineSet& engines) const;
  /// Returns the waits after a holder of whose lease nothing is known but that
  /// it was renewed in an era of the store that has ended.
  Handover AfterEndedEra() const;
  /// Returns a fencing token above `stored` and all that this node knows. In a
  /// store with eras it also rises with `version`, that of the stored lease,
  /// and with the era, since a restored lease may have lost later tokens.
  std::uint64_t NextFence(std::uint64_t stored, std::uint64_t version) const;
  /// Extends the lease by a stored renewal and announces it.
  void OnRenewed(std::uint64_t revision, TimePoint sent_at);
  /// Reads the stored lease after a renewal whose outcome is unknown.
  void ReadBack(TimePoint sent_at);
  /// Stops assuming that this node holds the lease.
  void Lose(const std::string& cause);
  /// Watches the lease of another holder, and tries to take it once it expired.
  void Follow();
  /// Reads the stored lease, and takes it if it is free, expired or released.
  void TryTake();
  /// Writes the lease for this node with a new fencing token, provided that
  /// the stored one still has `expected_version`.
  void Take(std::uint64_t expected_version,
            std::uint64_t fence,
            const Handover& handover);
  /// Returns whether the orders of earlier holders no longer count at any
  /// engine.
  bool IsHandoverComplete(TimePoint now) const;
  /// Returns how long a successor has to wait for each engine.
  EngineWaits WaitsAfterRelease(TimePoint now) const;
  /// Returns the engines that a lease stored now has to name; empty if it can't
  /// name all, so that a successor waits for every engine.
  std::optional<EngineSet> EnginesToName(TimePoint now) const;
  /// Prepares the write of a lease that names `engines`: until it is known to
  /// be stored, only engines that are also named by the stored one may get
  /// orders.
  void BeginWrite(std::optional<EngineSet> engines);
  /// Returns whether a requested order waits for a renewal.
  bool HasUnnamedRequest() const;
  /// Returns how long after the end of the lease this node tries to take it;
  /// depends on its rank among the live nodes.
  Duration TakeoverDelay() const;
  /// Returns the lease of this node as the JSON to store.
  std::string SerializeLease(bool released) const;
  /// Announces the lease to all nodes.
  void Announce();
  void SleepUnlessStopping(Duration duration);

  ObjectStore& store_;
  StoreEra& era_;
  PeerNetwork& peers_;
  Clock& clock_;
  EventLog& log_;
  std::string key_;
  std::string vm_address_;
  LeaseTiming timing_;

  bool is_holder_ = false;
  bool stopping_ = false;
  std::uint64_t fence_ = 0;
  /// Era of the store in which this node took the lease.
  std::uint32_t lease_era_ = 0;
  /// Renewals sent under fence_; identifies each one.
  std::uint64_t renewals_sent_ = 0;
  std::uint64_t stored_revision_ = 0;  ///< Version of the stored lease.
  std::string holder_;
  /// Sending time of the last stored renewal.
  TimePoint last_renewal_sent_at_{};
  /// Sending time of the last renewal, stored or not.
  TimePoint last_renewal_attempt_at_{};
  /// Orders of the previous holder may count until then.
  TimePoint orders_allowed_at_{};
  /// From this time on a release can list all engines that still have to wait.
  TimePoint release_lists_all_at_{};
  /// Time from which each engine listed by a releasing holder may get orders;
  /// may be later than orders_allowed_at_.
  std::map<std::string, TimePoint, std::less<>> engine_free_at_;
  /// Time of this process's last order to each engine, under this fence.
  std::map<std::string, TimePoint, std::less<>> last_order_at_;
  /// Engines for which the right to send an order was requested.
  EngineSet requested_;
  /// Engines that may get orders under the stored lease; unset if it does not
  /// restrict them.
  std::optional<EngineSet> allowed_;
  /// What the lease that was written last names.
  std::optional<EngineSet> written_names_;
  /// The last renewal was not stored, as far as is known.
  bool renewal_failed_ = false;
  /// Last observed lease of another holder.
  std::optional<ObservedLease> observed_;
  bool lease_read_ = false;  ///< The stored lease was read at least once.
  /// Whether the last read of the stored lease failed.
  bool store_lost_ = false;
  EventFlag changed_;
};

}  // namespace tanagerloom

#endif  // ORDERING_ORDER_LEASE_H_
