// Defines EngineControl, the interface to the control API of model engines:
// orders, state reports and cache events.
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

/// The operation that an order requests.
enum class OrderAction { kLoad, kUnload };

/// Where an engine loads a checkpoint from: its host memory, its disk or the
/// weight store.
enum class CheckpointSource { kMemory, kDisk, kRemote };

/// An order to an engine. Sending an order with the same id again has no
/// further effect.
struct EngineOrder {
  std::string order;        ///< Id of the order.
  std::uint64_t fence = 0;  ///< Fencing token; engines refuse lower ones.
  OrderAction action = OrderAction::kLoad;
  std::string model;
  std::string version;
  std::string adapter;  ///< Empty for the model itself.
  std::uint64_t memory_mb = 0;
  CheckpointSource source = CheckpointSource::kRemote;
  /// Id of the engine, for engines that check it: another engine that now has
  /// the same address refuses the order.
  std::string endpoint = {};
  /// Id of the node that holds the order lease and sends the order.
  std::string lease_holder = {};
  /// The engine refuses the order if the sequence of its state differs.
  std::optional<std::uint64_t> expected_sequence = {};
  /// Called right before the order is written; returns whether the sender may
  /// still send orders. If empty, the order is always sent.
  std::function<bool()> may_send_order = {};
};

/// The engine accepted the order.
struct OrderAccepted {
  /// Sequence of the engine's state right after it accepted the order.
  std::uint64_t sequence = 0;
  std::string boot;  ///< The engine's current boot.
  /// Whether the engine was already in the state that the order asks for.
  bool already_done = false;
  bool leaving = false;  ///< The engine drains.
};

/// The engine refused the order, which has no effect.
struct OrderRefused {
  std::string reason;  ///< "old_fence", "leaving", "no_memory", "busy",
                       ///< "other_endpoint" or "invalid".
  std::uint64_t highest_fence = 0;  ///< Highest fencing token it has seen.
  bool leaving = false;             ///< The engine drains.
};

using OrderAnswer = std::variant<OrderAccepted, OrderRefused>;

/// State of a replica on an engine.
enum class EngineReplicaState { kLoading, kLoaded, kFailed };

/// A replica as its engine reports it.
struct EngineReplica {
  std::string model;
  std::string version;
  std::string adapter;  ///< Empty for the model itself.
  EngineReplicaState state = EngineReplicaState::kLoading;
  std::string order;  ///< Id of the order that loaded it.
  std::string cause;  ///< Why the load failed; empty otherwise.
};

/// An engine's report of its replicas, cached copies and memory.
struct EngineState {
  std::string boot;
  std::uint64_t sequence = 0;       ///< Rises within one boot.
  std::uint64_t highest_fence = 0;  ///< Highest fencing token it has seen.
  std::uint64_t memory_mb = 0;      ///< Memory for replicas.
  std::uint64_t used_mb = 0;        ///< Memory used by its replicas.
  bool leaving = false;             ///< The engine drains.
  bool busy = false;                ///< The engine is executing an order.
  /// Where cached copies are, by model.
  std::map<std::string, CheckpointSource> cached;
  std::vector<EngineReplica> entries;
};

/// An engine's report of its utilization, which lags behind its real state.
struct EngineLoad {
  std::uint32_t running = 0;   ///< Requests being executed.
  std::uint32_t waiting = 0;   ///< Requests queued in the engine.
  std::uint32_t capacity = 0;  ///< Requests that it can execute at once.
};

/// A change of the prefix cache of an engine.
struct CacheEvent {
  std::uint64_t sequence = 0;
  bool stored = false;  ///< Whether the block was stored or evicted.
  /// StableHash of the model name in the request, a line feed and the prompt up
  /// to the end of the block.
  std::uint64_t block = 0;
};

/// Sends orders to model engines and reads their reports. An order that fails
/// with kUnknown or kTimeout may still reach the engine.
class EngineControl {
 public:
  virtual ~EngineControl() = default;

  /// Sends an order and returns the engine's answer.
  virtual Result<OrderAnswer> Send(const Address& engine,
                                   const EngineOrder& order) = 0;
  /// Reads the state report of an engine.
  virtual Result<EngineState> ReadState(const Address& engine) = 0;
  /// Reads the utilization of an engine.
  virtual Result<EngineLoad> ReadLoad(const Address& engine) = 0;

  /// Reads the cache events with a sequence above `after`. Events arrive late
  /// and some are missing. Fails with kUnavailable if the engine reports none.
  virtual Result<std::vector<CacheEvent>> ReadCacheEvents(
      const Address& /*engine*/,
      std::uint64_t /*after*/) {
    return MakeError(ErrorKind::kUnavailable, "engine reports no cache events");
  }
};

}  // namespace tanagerloom

#endif  // PORTS_ENGINE_CONTROL_H_
