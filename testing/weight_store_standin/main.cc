// Stand-in for the weight store: GET /weights/MODEL?mb=N answers when the load
// is complete, GET /weights/MODEL?adapter=NAME when that of an adapter is.
#include <algorithm>
#include <map>

#include "runtime/runtime.h"
#include "testing/support/flags.h"
#include "testing/support/standin.h"

namespace tanagerloom::testing_support {
namespace {

constexpr double kTickMs = 5;

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
      SendJson(responder, 500, {{"error", "checkpoint of " + model}});
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

  // Up to `concurrent` loads run at full speed; more share that bandwidth.
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

  double SpeedFactor() const {
    const double bandwidth_fraction =
        std::min(1.0, max_full_speed_loads_ / std::max(1, running_loads_));
    return bandwidth_fraction / std::max(0.001, control_.Number("slow_factor"));
  }

  // Starts beyond the rate wait for their turn.
  void WaitForStartSlot() {
    const auto now = static_cast<double>(NowMs());
    const double interval_ms = 1000 / loads_per_s_;
    // Unused starts of the last second may be taken in a burst.
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

  double ms_per_gb_;
  double adapter_ms_;
  double loads_per_s_;
  double max_full_speed_loads_;
  double max_full_speed_adapter_loads_;
  // mode: up or down (503). fail: loads of a model that fail next.
  TestControl control_{{{"mode", "up"},
                        {"slow_factor", 1.0},
                        {"fail", nlohmann::json::object()}}};
  std::map<std::string, int> loads_;
  std::map<std::string, int> adapter_loads_;
  int running_loads_ = 0;
  int running_adapter_loads_ = 0;
  int peak_loads_ = 0;
  int peak_adapter_loads_ = 0;
  double next_start_ms_ = 0;
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
