// Defines EngineMonitor, which polls the engines of a cell and keeps the last
// known status of each.
#ifndef PLACEMENT_ENGINE_MONITOR_H_
#define PLACEMENT_ENGINE_MONITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/address.h"
#include "decision/engine_report.h"
#include "ports/vm_list.h"
#include "runtime/clock.h"

namespace tanagerloom {

class EngineControl;
class TaskGroup;

/// Returns the monotonic time of `clock` in milliseconds. It is at least 1, so
/// that 0 can stand for no time.
std::uint64_t MonotonicMs(const Clock& clock);

/// The status of the engines of one cell.
class EngineMonitor {
 public:
  /// `on_report` is called after each read of an engine's state.
  EngineMonitor(EngineControl& engine_control,
                const Clock& clock,
                TaskGroup& tasks,
                std::function<void()> on_report);

  /// Updates the engines from the VM list; `vms` are the listed engines of the
  /// cell.
  void SetVms(const std::vector<Vm>& vms);

  /// Adds an engine of the placement record that may be missing in the VM list.
  void AddUnlisted(const std::string& engine);

  /// Starts to read the state of each engine in `intervals` whose last read has
  /// ended and was started at least its interval ago.
  void PollDueEngines(const std::map<std::string, Duration>& intervals);

  /// Sets the engines whose load is read together with their state.
  void SetEnginesToReadLoadFrom(std::set<std::string> engines);

  /// Makes the next PollDueEngines() read the engine regardless of its
  /// interval.
  void ForcePoll(const std::string& engine);

  /// Marks all engines as unreachable and due for a read, because the status is
  /// out of date after a pause of this process.
  void Invalidate();

  /// Returns the time until the next read is due, at most 2 s.
  Duration TimeUntilNextPoll(
      const std::map<std::string, Duration>& intervals) const;

  /// Returns the address of an engine; empty if it was never listed.
  std::optional<Address> AddressOf(const std::string& engine) const;
  /// Returns the data centre of an engine; empty if it was never listed.
  std::string DataCentreOf(const std::string& engine) const;
  /// The last known status by engine id.
  const EngineStatusMap& statuses() const { return statuses_; }

 private:
  struct PollState {
    Address address;
    std::string data_centre;
    bool reading = false;  ///< A read is in flight.
    std::optional<TimePoint> last_started;
  };

  void ReadEngine(const std::string& engine);

  EngineControl& engine_control_;
  const Clock& clock_;
  TaskGroup& tasks_;
  std::function<void()> on_report_;
  std::map<std::string, PollState> poll_states_;
  std::set<std::string> engines_to_read_load_from_;
  EngineStatusMap statuses_;
};

}  // namespace tanagerloom

#endif  // PLACEMENT_ENGINE_MONITOR_H_
