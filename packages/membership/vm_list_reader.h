// Defines VmListReader, which reads the platform's VM list regularly and keeps
// the last one while the platform does not answer.
#ifndef MEMBERSHIP_VM_LIST_READER_H_
#define MEMBERSHIP_VM_LIST_READER_H_

#include <functional>
#include <optional>
#include <vector>

#include "membership/peer_context.h"
#include "ports/vm_list.h"

namespace tanagerloom {

/// Reads the VM list into the member table.
class VmListReader {
 public:
  /// Called after a list that differs from the last one was taken, with the VMs
  /// as they were known before.
  using OnChange = std::function<void(const std::vector<Vm>& before)>;

  VmListReader(PeerContext& context, VmList& vm_list, OnChange on_change);

  /// Reads until the context stops; runs on its own fiber.
  void Run();

  /// Whether a call to the platform is in progress.
  bool reading() const { return reading_; }
  /// Whether the last call failed.
  bool failing() const { return failed_since_.has_value(); }

  /// Whether the list has so many nodes that each reads it less often and nodes
  /// tell each other what they read.
  bool large_site() const;

 private:
  void Read();
  Duration Interval() const;

  PeerContext& context_;
  VmList& vm_list_;
  OnChange on_change_;
  bool reading_ = false;
  std::optional<TimePoint> failed_since_;
};

}  // namespace tanagerloom

#endif  // MEMBERSHIP_VM_LIST_READER_H_
