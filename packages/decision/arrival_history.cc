#include "decision/arrival_history.h"

#include <algorithm>
#include <cmath>

namespace tanagerloom {

namespace {

constexpr std::size_t kKeptGapsPerBand = 16;
// Counts are halved above this, so that a changed pattern shows.
constexpr double kLargestCount = 10000;
// Shorter gaps are within one burst and say nothing about keeping a model.
constexpr double kShortestGapS = 1.0;
// Without known gaps, the chance of an arrival falls with the time without one:
// a model used a minute ago is used again sooner than one used an hour ago.
constexpr double kPriorGaps = 1.0;
constexpr double kPriorOffsetS = 30.0;
constexpr double kNarrowestShare = 0.01;
constexpr double kWidestShare = 0.25;

}  // namespace

void ArrivalHistory::NoteUse(std::uint64_t now_ms) {
  if (last_use_ms_ != 0 && now_ms > last_use_ms_) {
    const auto gap = IdleSeconds(now_ms);
    if (gap >= kShortestGapS) {
      AddGap(gap);
    }
  }
  last_use_ms_ = std::max(last_use_ms_, now_ms);
}

void ArrivalHistory::AddGap(double gap_s) {
  // A band spans a factor of two.
  auto& band = bands_[std::ilogb(gap_s)];
  band.gaps_s.push_back(gap_s);
  if (band.gaps_s.size() > kKeptGapsPerBand) {
    band.gaps_s.pop_front();
  }
  if (++band.count > kLargestCount) {
    for (auto& [length, it] : bands_) {
      it.count /= 2;
    }
  }
}

double ArrivalHistory::IdleSeconds(std::uint64_t now_ms) const {
  return now_ms > last_use_ms_
             ? static_cast<double>(now_ms - last_use_ms_) / 1000
             : 0;
}

ArrivalChance ArrivalHistory::Chance(double from_s, double window_s) const {
  // The prior is one gap whose chance to end by t is 1 - offset / (offset + t).
  const double offset = kPriorOffsetS + from_s;
  const double prior_end = window_s / (offset + window_s);
  double longer = kPriorGaps;
  double ended = kPriorGaps * prior_end;
  double idle = kPriorGaps * offset * std::log1p(window_s / offset);
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
  const double widest = std::max(1.0, kWidestShare * from_s);
  if (count < 3) {
    return widest;
  }
  const double mean = sum / count;
  const double deviation =
      std::sqrt(std::max(0.0, squares / count - mean * mean));
  // Silverman's rule for the bandwidth of a density estimate.
  const double bandwidth = 1.06 * deviation * std::pow(count, -0.2);
  return std::clamp(bandwidth, kNarrowestShare * mean,
                    std::max(widest, kNarrowestShare * mean));
}

}  // namespace tanagerloom
