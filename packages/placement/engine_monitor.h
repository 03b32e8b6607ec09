// Defines EngineMonitor, which reads the state of the engines of a cell and
// keeps what is known about each server.
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

/// Milliseconds of a monotonic clock, at least 1, for decisions.
std::uint64_t MonotonicMs(const Clock& clock);

/// Facts about the servers of one cell.
class EngineMonitor {
 public:
  /// Calls `on_report` after each state read.
  EngineMonitor(EngineControl& engine_control,
                const Clock& clock,
                TaskGroup& tasks,
                std::function<void()> on_report);

  /// Takes over the VM list; `vms` are the engines of the cell.
  void SetVms(const std::vector<Vm>& vms);

  /// Makes a server known that is in the record, but may not be listed.
  void AddUnlisted(const std::string& engine);

  /// Starts reading the state of each server whose last read began at least
  /// `interval` ago and has ended.
  void PollDueEngines(const std::map<std::string, Duration>& intervals);

  /// Servers whose load is read with their state.
  void SetEnginesToReadLoadFrom(std::set<std::string> engines);

  /// Makes the next PollDueEngines() read the server.
  void ForcePoll(const std::string& engine);

  /// Forgets what was read, after this process was paused.
  void Invalidate();

  /// Time until the next read is due.
  Duration TimeUntilNextPoll(
      const std::map<std::string, Duration>& intervals) const;

  std::optional<Address> AddressOf(const std::string& engine) const;
  std::string DataCentreOf(const std::string& engine) const;
  const EngineStatusMap& statuses() const { return statuses_; }

 private:
  struct PollState {
    Address address;
    std::string data_centre;
    bool reading = false;
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
