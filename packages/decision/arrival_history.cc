#include "decision/arrival_history.h"

#include <algorithm>
#include <cmath>

namespace tanagerloom {

namespace {

constexpr std::size_t kKeptGaps = 64;
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
      gaps_s_.push_back(gap);
      if (gaps_s_.size() > kKeptGaps) {
        gaps_s_.pop_front();
      }
    }
  }
  last_use_ms_ = std::max(last_use_ms_, now_ms);
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
  for (const auto gap : gaps_s_) {
    if (gap <= from_s) {
      continue;
    }
    longer += 1;
    ended += gap <= from_s + window_s ? 1 : 0;
    idle += std::min(gap - from_s, window_s);
  }
  return {ended / longer, idle / longer};
}

double ArrivalHistory::WindowSeconds(double from_s) const {
  double count = 0;
  double sum = 0;
  double squares = 0;
  for (const auto gap : gaps_s_) {
    if (gap > from_s) {
      count += 1;
      sum += gap;
      squares += gap * gap;
    }
  }
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
