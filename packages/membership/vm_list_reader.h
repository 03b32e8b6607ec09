// Defines VmListReader, which reads the platform's VM list regularly. During an
// outage of the platform the last list remains in use.
#ifndef MEMBERSHIP_VM_LIST_READER_H_
#define MEMBERSHIP_VM_LIST_READER_H_

#include <functional>
#include <optional>
#include <vector>

#include "membership/peer_context.h"
#include "ports/vm_list.h"

namespace tanagerloom {

/// Reads the VM list and stores it in the member table.
class VmListReader {
 public:
  /// Called after a list that differs from the last one was stored.
  /// `previous_vms` are the VMs before.
  using OnChange = std::function<void(const std::vector<Vm>& previous_vms)>;

  VmListReader(PeerContext& context, VmList& vm_list, OnChange on_change);

  /// Reads the list again and again until the context stops. Runs on its own
  /// fiber.
  void Run();

  /// Whether a call to the platform is in flight.
  bool reading() const { return reading_; }
  /// Whether the last call failed.
  bool failing() const { return failed_since_.has_value(); }

  /// Returns whether the list has so many nodes that each node reads it less
  /// often and nodes announce the changes that they read to each other.
  bool is_large_site() const;

 private:
  void Read();
  /// Returns the time until the next read, with jitter.
  Duration Interval() const;

  PeerContext& context_;
  VmList& vm_list_;
  OnChange on_change_;
  bool reading_ = false;
  std::optional<TimePoint> failed_since_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_VM_LIST_READER_H_
