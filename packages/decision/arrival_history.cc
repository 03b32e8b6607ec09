#include "decision/arrival_history.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace tanagerloom {

namespace {

constexpr std::size_t kMaxGapsPerBand = 16;
// When a count exceeds this limit, all counts are halved, so that the estimate
// follows a changed pattern.
constexpr double kMaxBandCount = 10000;
// Shorter gaps lie within one burst and don't matter for keeping a model
// loaded.
constexpr double kMinGapS = 1.0;
// The prior distribution, used while few gaps are known. The probability of an
// arrival falls with the idle time: a model that was used a minute ago is used
// again sooner than one that was used an hour ago.
constexpr double kPriorWeight = 1.0;
constexpr double kPriorOffsetS = 30.0;
// Limits of the window as fractions of the mean gap and of the idle time.
constexpr double kMinWindowFraction = 0.01;
constexpr double kMaxWindowFraction = 0.25;

}  // namespace

void ArrivalHistory::RecordUse(std::uint64_t now_ms) {
  const auto now = static_cast<std::int64_t>(now_ms);
  if (last_use_ms_ && now > *last_use_ms_) {
    const auto gap = IdleSeconds(now_ms);
    if (gap >= kMinGapS) {
      AddGap(gap);
    }
  }
  last_use_ms_ = std::max(last_use_ms_.value_or(now), now);
}

void ArrivalHistory::AddGap(double gap_s) {
  // A band spans a factor of two.
  auto& band = bands_[std::ilogb(gap_s)];
  band.gaps_s.push_back(gap_s);
  if (band.gaps_s.size() > kMaxGapsPerBand) {
    band.gaps_s.pop_front();
  }
  if (++band.count > kMaxBandCount) {
    for (auto& [length, it] : bands_) {
      it.count /= 2;
    }
  }
}

double ArrivalHistory::IdleSeconds(std::uint64_t now_ms) const {
  const auto now = static_cast<std::int64_t>(now_ms);
  const auto last = last_use_ms_.value_or(0);
  return now > last ? static_cast<double>(now - last) / 1000 : 0;
}

ArrivalEstimate ArrivalHistory::EstimateArrival(double from_s,
                                                double window_s) const {
  // The prior is one gap that ends by t with probability
  // 1 - offset / (offset + t).
  const double offset = kPriorOffsetS + from_s;
  const double prior_end = window_s / (offset + window_s);
  double longer = kPriorWeight;
  double ended = kPriorWeight * prior_end;
  double idle = kPriorWeight * offset * std::log1p(window_s / offset);
  VisitGaps([&](double gap, double weight) {
    if (gap <= from_s) {
      return;
    }
    longer += weight;
    ended += gap <= from_s + window_s ? weight : 0;
    idle += weight * std::min(gap - from_s, window_s);
  });
  return {ended / longer, idle / longer};
}

double ArrivalHistory::WindowSeconds(double from_s) const {
  double count = 0;
  double sum = 0;
  double squares = 0;
  VisitGaps([&](double gap, double weight) {
    if (gap > from_s) {
      count += weight;
      sum += weight * gap;
      squares += weight * gap * gap;
    }
  });
  const double max_window = std::max(1.0, kMaxWindowFraction * from_s);
  if (count < 3) {
    return max_window;
  }
  const double mean = sum / count;
  const double deviation =
      std::sqrt(std::max(0.0, squares / count - mean * mean));
  // Silverman's rule for the bandwidth of a density estimate.
  const double bandwidth = 1.06 * deviation * std::pow(count, -0.2);
  return std::clamp(bandwidth, kMinWindowFraction * mean,
                    std::max(max_window, kMinWindowFraction * mean));
}

nlohmann::json ArrivalHistory::ToJson(std::int64_t wall_offset_ms) const {
  auto bands = nlohmann::json::array();
  for (const auto& [length, band] : bands_) {
    bands.push_back({{"count", band.count}, {"gaps_s", band.gaps_s}});
  }
  return {{"last_use_ms", last_use_ms_.value_or(0) + wall_offset_ms},
          {"bands", std::move(bands)}};
}

ArrivalHistory ArrivalHistory::FromJson(const nlohmann::json& json,
                                        std::int64_t wall_offset_ms) {
  ArrivalHistory history;
  history.last_use_ms_ =
      json.at("last_use_ms").get<std::int64_t>() - wall_offset_ms;
  for (const auto& it : json.at("bands")) {
    for (const auto gap : it.at("gaps_s").get<std::vector<double>>()) {
      if (gap >= kMinGapS) {
        auto& band = history.bands_[std::ilogb(gap)];
        band.gaps_s.push_back(gap);
        band.count = it.at("count").get<double>();
      }
    }
  }
  return history;
}

std::string SerializeHistories(
    const std::map<ModelKey, ArrivalHistory>& histories,
    std::int64_t wall_offset_ms) {
  auto list = nlohmann::json::array();
  for (const auto& [key, it] : histories) {
    auto json = it.ToJson(wall_offset_ms);
    json["model"] = key.model;
    json["version"] = key.version;
    json["adapter"] = key.adapter;
    list.push_back(std::move(json));
  }
  return nlohmann::json{{"histories", std::move(list)}}.dump();
}

Result<std::map<ModelKey, ArrivalHistory>> ParseHistories(
    std::string_view text,
    std::int64_t wall_offset_ms) {
  try {
    std::map<ModelKey, ArrivalHistory> histories;
    const auto json = nlohmann::json::parse(text);
    for (const auto& it : json.at("histories")) {
      histories.emplace(ModelKey{it.at("model").get<std::string>(),
                                 it.at("version").get<std::string>(),
                                 it.at("adapter").get<std::string>()},
                        ArrivalHistory::FromJson(it, wall_offset_ms));
    }
    return histories;
  } catch (const nlohmann::json::exception& error) {
    return MakeError(ErrorKind::kInternal,
                     std::string("arrival histories: ") + error.what());
  }
}

}  // namespace tanagerloom
