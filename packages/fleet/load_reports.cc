#include "fleet/load_reports.h"

#include <algorithm>
#include <cmath>

#include "fleet/endpoint_record.h"
#include "fleet/reported_load.h"

namespace tanagerloom {

namespace {

// Weight of a report in the averages of the service.
constexpr double kMeanWeight = 0.05;
// Max requests per slot that an endpoint is assumed to have by the mean of
// others. It stays below what counts as full: an endpoint that gets no request
// reports nothing.
constexpr double kMaxAssumedPerSlot = 1.9;
// Weight of a report in the slowness of its endpoint, which is noisy.
constexpr double kSlownessWeight = 0.4;
// An endpoint that says nothing of its speed is judged by its answers, which
// also depend on what it was asked: half of the deviation counts, within these
// bounds.
constexpr double kAnswerWeight = 0.5;
constexpr double kMinAnswerSlowness = 0.8;
constexpr double kMaxAnswerSlowness = 3;

// Returns the weight of a value of this age.
double WeightAt(Duration age, Duration half_life) {
  return std::exp2(-std::chrono::duration<double>(age) /
                   std::chrono::duration<double>(half_life));
}

double SlotsOf(const EndpointRecord& record) {
  return std::max<std::uint32_t>(1, record.slots);
}

}  // namespace

LoadReports::Endpoint& LoadReports::StateOf(const EndpointRecord& record) {
  auto& out = endpoints_[record.id];
  if (out.boot != record.boot) {
    out = Endpoint();
    out.boot = record.boot;
  }
  return out;
}

bool LoadReports::OnReport(const EndpointRecord& record,
                           const ReportedLoad& load,
                           std::uint32_t own_in_flight,
                           TimePoint at) {
  auto& state = StateOf(record);
  if (state.reported_at && at <= *state.reported_at) {
    return false;
  }
  const double others = std::max(
      0.0, static_cast<double>(load.running) + load.waiting - own_in_flight);
  state.others_per_slot = others / SlotsOf(record);
  mean_others_per_slot_ +=
      (state.others_per_slot - mean_others_per_slot_) * kMeanWeight;
  if (load.slowness) {
    const double previous = SlownessOf(&state, at);
    const double weight = state.slowness ? kSlownessWeight : 1;
    state.slowness = previous + (*load.slowness - previous) * weight;
    state.slowness_at = at;
    mean_slowness_ += (*load.slowness - mean_slowness_) * kMeanWeight;
    has_slowness_ = true;
  }
  state.reported_at = at;
  newest_report_at_ = std::max(newest_report_at_, at);
  has_reports_ = true;
  return true;
}

double LoadReports::OnFirstEvent(const EndpointRecord& record,
                                 Duration delay,
                                 Duration idle_delay,
                                 TimePoint now) {
  const double ratio = usual_time_.Observe(delay, idle_delay);
  StateOf(record).answers.Observe(ratio, now);
  return ratio;
}

double LoadReports::SlownessOf(const Endpoint* endpoint, TimePoint now) const {
  if (!has_slowness_) {
    return 1;
  }
  if (endpoint == nullptr) {
    return mean_slowness_;
  }
  if (!endpoint->slowness) {
    const double deviation = endpoint->answers.Ratio(now) - 1;
    return mean_slowness_ * std::clamp(1 + deviation * kAnswerWeight,
                                       kMinAnswerSlowness, kMaxAnswerSlowness);
  }
  const double weight =
      WeightAt(now - endpoint->slowness_at, kSlownessHalfLife);
  return mean_slowness_ + (*endpoint->slowness - mean_slowness_) * weight;
}

std::optional<ExpectedLoad> LoadReports::Expect(
    const EndpointRecord& record,
    std::optional<double> known_others,
    TimePoint now) const {
  if (!has_reports_) {
    return std::nullopt;
  }
  const auto it = endpoints_.find(record.id);
  const bool known = it != endpoints_.end() && it->second.boot == record.boot;
  const auto* state = known ? &it->second : nullptr;
  const double slots = SlotsOf(record);
  ExpectedLoad out;
  const auto silence = now - newest_report_at_;
  const double mean_weight =
      silence > kMeanHalfLife ? WeightAt(silence - kMeanHalfLife, kMeanHalfLife)
                              : 1;
  out.others_in_flight = known_others.value_or(
      std::min(mean_others_per_slot_ * mean_weight, kMaxAssumedPerSlot) *
      slots);
  out.slowness = SlownessOf(state, now);
  if (state != nullptr && state->reported_at) {
    const double reported = state->others_per_slot * slots;
    out.others_in_flight += (reported - out.others_in_flight) *
                            WeightAt(now - *state->reported_at, kCountHalfLife);
  }
  return out;
}

void LoadReports::Prune(const std::function<bool(std::string_view)>& is_gone) {
  std::erase_if(endpoints_, [&](const auto& it) { return is_gone(it.first); });
}

}  // namespace tanagerloom
