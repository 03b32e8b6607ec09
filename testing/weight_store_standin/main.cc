// Stand-in for the weight store, with limited bandwidth and a limited rate of
// loads. GET /weights/MODEL?mb=N answers when the load of a model is complete,
// GET /weights/MODEL?adapter=NAME when the load of an adapter is.
#include <algorithm>
#include <map>

#include "runtime/runtime.h"
#include "testing/support/flags.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

// Interval at which the progress of a load is updated.
constexpr double kTickMs = 5;

// The HTTP API of the weight store and its test control.
class WeightStore {
 public:
  explicit WeightStore(const Flags& flags)
      : ms_per_gb_(flags.Number("ms-per-gb", 100)),
        adapter_ms_(flags.Number("adapter-ms", 8)),
        loads_per_s_(flags.Number("loads-per-s", 4)),
        max_full_speed_loads_(flags.Number("concurrent", 4)),
        max_full_speed_adapter_loads_(flags.Number("concurrent-adapters", 32)) {
  }

  void Handle(const HttpRequest& request, HttpResponder& responder) {
    if (request.Path() == "/test/control") {
      if (const auto changes = ParseObject(request, responder)) {
        control_.Merge(*changes);
        SendJson(responder, 200, control_.values());
      }
    } else if (request.Path() == "/test/ledger") {
      SendJson(responder, 200,
               {{"loads", loads_},
                {"adapter_loads", adapter_loads_},
                {"peak_loads", peak_loads_},
                {"peak_adapter_loads", peak_adapter_loads_}});
    } else if (const auto model = PathAfter(request, "/weights/")) {
      Load(*model, request, responder);
    } else {
      SendJson(responder, 404, {{"error", "no such path"}});
    }
  }

 private:
  void Load(const std::string& model,
            const HttpRequest& request,
            HttpResponder& responder) {
    if (control_.Text("mode") == "down") {
      SendJson(responder, 503, {{"error", "unavailable"}});
      return;
    }
    if (control_.ConsumeFaultFor("fail", model)) {
      SendJson(responder, 500,
               {{"error", "cannot read the checkpoint of " + model}});
      return;
    }
    const auto adapter = request.Query("adapter");
    if (adapter && !adapter->empty()) {
      LoadAdapter(model + ":" + *adapter);
    } else {
      LoadModel(model, std::stod("0" + request.Query("mb").value_or("")));
    }
    SendJson(responder, 200, {{"model", model}});
  }

  // Up to max_full_speed_loads_ loads run at full speed; more than these share
  // the same bandwidth.
  void LoadModel(const std::string& model, double mb) {
    ++loads_[model];
    WaitForStartSlot();
    ++running_loads_;
    peak_loads_ = std::max(peak_loads_, running_loads_);
    double remaining_ms = mb / 1024 * ms_per_gb_;
    auto last = NowMs();
    while (remaining_ms > 0) {
      SleepMs(std::min(kTickMs, remaining_ms));
      const auto now = NowMs();
      remaining_ms -= static_cast<double>(now - last) * SpeedFactor();
      last = now;
    }
    --running_loads_;
  }

  // Returns the current speed of each load as a fraction of the full speed.
  double SpeedFactor() const {
    const double bandwidth_fraction =
        std::min(1.0, max_full_speed_loads_ / std::max(1, running_loads_));
    return bandwidth_fraction / std::max(0.001, control_.Number("slow_factor"));
  }

  // Delays the start of a load so that the rate of starts stays within
  // loads_per_s_.
  void WaitForStartSlot() {
    const auto now = static_cast<double>(NowMs());
    const double interval_ms = 1000 / loads_per_s_;
    // Starts that were not used in the last second are available as a burst.
    next_start_ms_ = std::max(next_start_ms_, now - 1000) + interval_ms;
    SleepMs(next_start_ms_ - now);
  }

  void LoadAdapter(const std::string& adapter) {
    ++adapter_loads_[adapter];
    ++running_adapter_loads_;
    peak_adapter_loads_ = std::max(peak_adapter_loads_, running_adapter_loads_);
    SleepMs(
        adapter_ms_ *
        std::max(1.0, running_adapter_loads_ / max_full_speed_adapter_loads_) *
        control_.Number("slow_factor"));
    --running_adapter_loads_;
  }

  double ms_per_gb_;    // Load time at full speed, per GiB.
  double adapter_ms_;   // Load time of an adapter at full speed.
  double loads_per_s_;  // Limit on started model loads per second.
  double max_full_speed_loads_;
  double max_full_speed_adapter_loads_;
  // Settings of POST /test/control:
  // - mode: "up" or "down" (each load gets 503);
  // - slow_factor: divides the speed of loads;
  // - fail: number of loads that fail next, by model.
  TestControl control_{{{"mode", "up"},
                        {"slow_factor", 1.0},
                        {"fail", nlohmann::json::object()}}};
  std::map<std::string, int> loads_;          // Started loads by model.
  std::map<std::string, int> adapter_loads_;  // By "MODEL:ADAPTER".
  int running_loads_ = 0;
  int running_adapter_loads_ = 0;
  int peak_loads_ = 0;
  int peak_adapter_loads_ = 0;
  double next_start_ms_ = 0;  // Steady clock, in ms.
};

}  // namespace
}  // namespace tanagerloom::testing_support

int main(int argc, char** argv) {
  using namespace tanagerloom::testing_support;
  tanagerloom::Runtime::Get();
  const Flags flags(argc, argv);
  WeightStore store(flags);
  const auto server =
      ServeLoopback(static_cast<std::uint16_t>(flags.Number("port", 0)),
                    [&](const auto& request, auto& responder) {
                      store.Handle(request, responder);
                    });
  RunUntilStopped();
}
