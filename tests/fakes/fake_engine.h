// Defines FakeEngine, a model engine in memory that carries out orders, and
// FakeEngineControl, which delivers orders to it with the faults of a network.
#ifndef TESTS_FAKES_FAKE_ENGINE_H_
#define TESTS_FAKES_FAKE_ENGINE_H_

#include <boost/fiber/fiber.hpp>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "fleet/model_ref.h"
#include "ports/engine_control.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// What a fake engine has room for, and how long its orders take.
struct FakeEngineSpec {
  double weights_mb = 0;
  std::map<std::string, double> model_mb;  ///< Weights by model.
  std::size_t adapter_slots = 0;
  Duration load_time = std::chrono::milliseconds(800);
  Duration unload_time = std::chrono::milliseconds(50);
};

/// Carries out one model order at a time and any number of adapter orders. Its
/// reports lag behind. An order for more than it has room for is a fault of the
/// sender, which `overfilled` records.
class FakeEngine {
 public:
  FakeEngine(Clock& clock, std::string id, FakeEngineSpec spec)
      : clock_(clock), id_(std::move(id)), spec_(std::move(spec)) {
    Record();
  }

  Duration adapter_load_time = std::chrono::milliseconds(9);
  /// How far the next reports lag behind.
  Duration report_lag = std::chrono::milliseconds(300);
  bool leaving = false;    ///< Said in all answers.
  std::string overfilled;  ///< What was too much; empty if nothing was.

  const std::string& id() const { return id_; }
  std::uint64_t boot() const { return boot_; }
  std::uint64_t sequence() const { return sequence_; }
  const std::map<std::string, std::set<std::string>>& models() const {
    return models_;
  }

  /// The engine has had this model since its start.
  void Place(const std::string& model) {
    models_[model];
    history_.clear();
    Record();
  }

  /// The engine restarts empty, under the same id.
  void Restart() {
    ++boot_;
    sequence_ = 0;
    busy_ = false;
    models_.clear();
    loading_model_.clear();
    pending_.clear();
    unloading_.clear();
    runs_.clear();
    history_.clear();
    Record();
  }

  /// A request that uses an adapter begins or ends.
  void BeginRun(const ModelRef& ref) { runs_.insert(ref); }
  void EndRun(const ModelRef& ref) {
    const auto it = runs_.find(ref);
    if (it != runs_.end()) {
      runs_.erase(it);
    }
    if (!runs_.contains(ref) && unloading_.erase(ref) > 0) {
      models_[ref.model].erase(ref.adapter);
      Record();
    }
  }

  /// Returns whether a request for an adapter or model would run.
  bool Serves(const ModelRef& ref) const {
    const auto it = models_.find(ref.model);
    return it != models_.end() && !unloading_.contains(ref) &&
           (ref.adapter.empty() || it->second.contains(ref.adapter));
  }

  /// Carries out an order, and says in the answer whether the engine leaves.
  OrderAnswer Answer(const EngineOrder& order) {
    auto out = Take(order);
    std::visit([this](auto& it) { it.leaving = leaving; }, out);
    return out;
  }

  OrderAnswer Take(const EngineOrder& order) {
    if (!order.endpoint.empty() && order.endpoint != id_) {
      return OrderRefused{"other_endpoint", 0};
    }
    if (order.expected_sequence && *order.expected_sequence != sequence_) {
      return OrderRefused{"busy", 0};
    }
    const ModelRef target{order.model, order.adapter};
    const bool load = order.action == OrderAction::kLoad;
    if (target.adapter.empty()) {
      return load ? LoadModel(target.model) : UnloadModel(target.model);
    }
    if (!models_.contains(target.model)) {
      return OrderRefused{"invalid", 0};
    }
    return load ? LoadAdapter(target) : UnloadAdapter(target);
  }

  /// Returns the report of some time ago, but not of an earlier start.
  EngineState Report() const {
    const auto at = clock_.Now() - report_lag;
    const EngineState* out = &history_.front().second;
    for (const auto& [since, state] : history_) {
      if (since <= at) {
        out = &state;
      }
    }
    auto report = *out;
    report.leaving = leaving;
    return report;
  }

  std::size_t AdapterCount() const {
    std::size_t n = pending_.size();
    for (const auto& [model, adapters] : models_) {
      n += adapters.size();
    }
    return n;
  }

 private:
  static OrderAnswer Accepted(bool already_done) {
    return OrderAccepted{0, "", already_done};
  }

  void Record() {
    EngineState state;
    state.boot = std::to_string(boot_);
    state.sequence = sequence_;
    state.busy = busy_;
    for (const auto& [model, adapters] : models_) {
      state.entries.push_back(
          {model, "", "", EngineReplicaState::kLoaded, "", ""});
      for (const auto& it : adapters) {
        state.entries.push_back(
            {model, "", it, EngineReplicaState::kLoaded, "", ""});
      }
    }
    for (const auto& it : pending_) {
      state.entries.push_back(
          {it.model, "1", it.adapter, EngineReplicaState::kLoading, "", ""});
    }
    history_.emplace_back(clock_.Now(), std::move(state));
    constexpr std::size_t kMaxHistory = 200;
    if (history_.size() > kMaxHistory) {
      history_.pop_front();
    }
  }

  // Runs `step` after `delay`, unless the engine restarts meanwhile.
  void After(Duration delay, std::function<void()> step) {
    boost::fibers::fiber([this, delay, boot = boot_, step = std::move(step)] {
      clock_.SleepFor(delay);
      if (boot == boot_) {
        step();
        Record();
      }
    }).detach();
  }

  void CheckRoom() {
    double used_mb = 0;
    for (const auto& [model, adapters] : models_) {
      used_mb += spec_.model_mb.at(model);
    }
    if (!loading_model_.empty()) {
      used_mb += spec_.model_mb.at(loading_model_);
    }
    if (used_mb > spec_.weights_mb) {
      overfilled = id_ + ": " + std::to_string(used_mb) + " MB";
    }
    if (AdapterCount() > spec_.adapter_slots) {
      overfilled = id_ + ": " + std::to_string(AdapterCount()) + " adapters";
    }
  }

  OrderAnswer LoadModel(const std::string& model) {
    if (busy_) {
      return OrderRefused{"busy", 0};
    }
    if (models_.contains(model)) {
      return Accepted(true);
    }
    ++sequence_;
    busy_ = true;
    loading_model_ = model;
    CheckRoom();
    Record();
    After(spec_.load_time, [this, model] {
      busy_ = false;
      loading_model_.clear();
      models_[model];
    });
    return Accepted(false);
  }

  OrderAnswer UnloadModel(const std::string& model) {
    if (busy_) {
      return OrderRefused{"busy", 0};
    }
    if (!models_.contains(model)) {
      return Accepted(true);
    }
    ++sequence_;
    busy_ = true;
    Record();
    After(spec_.unload_time, [this, model] {
      busy_ = false;
      models_.erase(model);
      std::erase_if(pending_,
                    [&](const auto& it) { return it.model == model; });
      std::erase_if(unloading_,
                    [&](const auto& it) { return it.model == model; });
    });
    return Accepted(false);
  }

  OrderAnswer LoadAdapter(const ModelRef& ref) {
    if (pending_.contains(ref) || models_[ref.model].contains(ref.adapter)) {
      return Accepted(true);
    }
    ++sequence_;
    pending_.insert(ref);
    CheckRoom();
    Record();
    After(adapter_load_time, [this, ref] {
      if (pending_.erase(ref) > 0 && models_.contains(ref.model)) {
        models_[ref.model].insert(ref.adapter);
      }
    });
    return Accepted(false);
  }

  OrderAnswer UnloadAdapter(const ModelRef& ref) {
    if (!models_[ref.model].contains(ref.adapter)) {
      return Accepted(true);
    }
    ++sequence_;
    if (runs_.contains(ref)) {
      unloading_.insert(ref);
      Record();
      return Accepted(false);
    }
    models_[ref.model].erase(ref.adapter);
    Record();
    return Accepted(true);
  }

  Clock& clock_;
  std::string id_;
  FakeEngineSpec spec_;
  std::uint64_t boot_ = 1;
  std::uint64_t sequence_ = 0;
  bool busy_ = false;
  std::string loading_model_;
  std::map<std::string, std::set<std::string>> models_;
  std::set<ModelRef> pending_;
  std::set<ModelRef> unloading_;  ///< Wait for the runs that use them.
  std::multiset<ModelRef> runs_;
  std::deque<std::pair<TimePoint, EngineState>> history_;
};

/// What happens to one order on its way.
enum class OrderFault {
  kNone,
  kAnswerLost,   ///< Carried out at once; the sender is not told.
  kLate,         ///< Carried out later; the sender is told nothing.
  kNotAccepted,  ///< Never arrives, and the sender is told nothing.
};

/// Delivers orders to engines, which are told apart by the port.
class FakeEngineControl final : public EngineControl {
 public:
  explicit FakeEngineControl(Clock& clock) : clock_(clock) {}

  std::map<std::uint16_t, FakeEngine*> engines;
  /// Returns what happens to the next order.
  std::function<OrderFault(const EngineOrder&)> fault = [](const EngineOrder&) {
    return OrderFault::kNone;
  };
  /// Delay of a late order.
  std::function<Duration()> late_delay = [] {
    return Duration(std::chrono::seconds(2));
  };
  std::vector<EngineOrder> sent;  ///< All orders that were sent.

  Result<OrderAnswer> Send(const Address& address,
                           const EngineOrder& order) override {
    if (order.may_send_order && !order.may_send_order()) {
      return MakeError(ErrorKind::kUnavailable, "not sent");
    }
    auto* engine = engines.at(address.port);
    sent.push_back(order);
    clock_.SleepFor(kRoundTrip);
    switch (fault(order)) {
      case OrderFault::kNone:
        return engine->Answer(order);
      case OrderFault::kAnswerLost:
        (void)engine->Take(order);
        break;
      case OrderFault::kLate:
        boost::fibers::fiber([this, engine, order, delay = late_delay()] {
          clock_.SleepFor(delay);
          (void)engine->Take(order);
        }).detach();
        break;
      case OrderFault::kNotAccepted:
        break;
    }
    clock_.SleepFor(kSendTimeout);
    return MakeError(ErrorKind::kUnknown, "no answer");
  }

  Result<EngineState> ReadState(const Address& address) override {
    clock_.SleepFor(kRoundTrip);
    return engines.at(address.port)->Report();
  }

  Result<EngineLoad> ReadLoad(const Address&) override {
    return MakeError(ErrorKind::kInvalid, "no load reports");
  }

 private:
  static constexpr auto kRoundTrip = std::chrono::milliseconds(2);
  static constexpr auto kSendTimeout = std::chrono::milliseconds(400);

  Clock& clock_;
};

}  // namespace tanagerloom

#endif  // TESTS_FAKES_FAKE_ENGINE_H_
