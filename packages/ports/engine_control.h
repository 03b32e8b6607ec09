// Defines the port to the control side of a model engine: orders and reports.
#ifndef PORTS_ENGINE_CONTROL_H_
#define PORTS_ENGINE_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/address.h"
#include "base/error.h"

namespace tanagerloom {

/// What an order makes an engine do.
enum class OrderAction { kLoad, kUnload };

/// Where a checkpoint is loaded from.
enum class CheckpointSource { kMemory, kDisk, kRemote };

/// An order to an engine. A repeated order id has no second effect.
struct EngineOrder {
  std::string order;
  std::uint64_t fence = 0;
  OrderAction action = OrderAction::kLoad;
  std::string model;
  std::string version;
  std::string adapter;
  std::uint64_t memory_mb = 0;
  CheckpointSource source = CheckpointSource::kRemote;
  /// The engine's identity, for engines that check it: an engine that took over
  /// the address refuses the order.
  std::string endpoint = {};
  std::string holder = {};  ///< Who holds the right to order; one name a VM.
  /// The order holds only while the engine's state has this sequence.
  std::optional<std::uint64_t> expected_sequence = {};
  /// Asked right before the order is written: whether its sender still holds
  /// the right to order. Empty: it needs none.
  std::function<bool()> still_valid = {};
};

/// The engine took the order. `sequence` is that of its state just after.
struct OrderAccepted {
  std::uint64_t sequence = 0;
  std::string boot;
  bool already_done = false;  ///< The order's outcome held before.
};

/// The engine refused the order; it has no effect.
struct OrderRefused {
  std::string reason;  ///< "old_fence", "leaving", "no_memory", "busy",
                       ///< "other_endpoint" or "invalid".
  std::uint64_t highest_fence = 0;
};

using OrderAnswer = std::variant<OrderAccepted, OrderRefused>;

/// State of a model on an engine.
enum class EngineEntryState { kLoading, kLoaded, kFailed };

/// One model or adapter on an engine.
struct EngineEntry {
  std::string model;
  std::string version;
  std::string adapter;
  EngineEntryState state = EngineEntryState::kLoading;
  std::string order;
  std::string cause;  ///< Of a failed load.
};

/// An engine's report of what it holds. `sequence` rises within one boot.
struct EngineState {
  std::string boot;
  std::uint64_t sequence = 0;
  std::uint64_t highest_fence = 0;
  std::uint64_t memory_mb = 0;
  std::uint64_t used_mb = 0;
  bool leaving = false;
  bool busy = false;  ///< An order is being carried out.
  std::map<std::string, CheckpointSource> cached;
  std::vector<EngineEntry> entries;
};

/// An engine's load report, which lags.
struct EngineLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t capacity = 0;
};

/// A change of an engine's prefix cache. `block` is the StableHash of the model
/// name in the request, a line feed and the prompt up to the block's end.
struct CacheEvent {
  std::uint64_t sequence = 0;
  bool stored = false;  ///< Otherwise evicted.
  std::uint64_t block = 0;
};

/// Control of model engines. An order that fails with kUnknown or kTimeout may
/// still be delivered.
class EngineControl {
 public:
  virtual ~EngineControl() = default;

  virtual Result<OrderAnswer> Send(const Address& engine,
                                   const EngineOrder& order) = 0;
  virtual Result<EngineState> ReadState(const Address& engine) = 0;
  virtual Result<EngineLoad> ReadLoad(const Address& engine) = 0;

  /// Cache events with a sequence above `after`; they come late and with gaps.
  virtual Result<std::vector<CacheEvent>> ReadCacheEvents(
      const Address& /*engine*/,
      std::uint64_t /*after*/) {
    return MakeError(ErrorKind::kUnavailable, "no cache events");
  }
};

}  // namespace tanagerloom

#endif  // PORTS_ENGINE_CONTROL_H_
