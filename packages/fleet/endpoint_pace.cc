#include "fleet/endpoint_pace.h"

#include <algorithm>
#include <cmath>

namespace tanagerloom {

std::string_view PaceCauseName(PaceCause cause) {
  switch (cause) {
    case PaceCause::kStart:
      return "start";
    case PaceCause::kRecovery:
      return "recovery";
    case PaceCause::kWakeUp:
      return "wake_up";
    case PaceCause::kRefusals:
      return "refusals";
  }
  return "start";
}

double EndpointPace::InitialAllowance(const PaceShare& share) {
  return std::max(1.0, share.slots * kInitialPart);
}

double EndpointPace::MinAllowance(const PaceShare& share) const {
  // An endpoint that refuses because it is full keeps its slots busy.
  return cause_ == PaceCause::kRefusals ? share.slots : InitialAllowance(share);
}

double EndpointPace::FullAllowance(const PaceShare& share) {
  return std::max(share.slots * kFullLoad, static_cast<double>(share.nodes));
}

void EndpointPace::Begin(PaceCause cause,
                         const PaceShare& share,
                         TimePoint from) {
  active_ = true;
  cause_ = cause;
  answered_ = false;
  // An endpoint that refuses is alive, and has had its full load until now.
  allowance_ = cause == PaceCause::kRefusals ? FullAllowance(share) / 2
                                             : InitialAllowance(share);
  earned_ = 0;
  from_ = from;
  grown_until_ = from;
  halved_at_ = from;
  idle_since_ = from;
  refusals_ = {};
  silences_ = {};
}

void EndpointPace::Grow(const PaceShare& share, TimePoint now) {
  if (now <= grown_until_) {
    return;
  }
  const auto intervals = std::chrono::duration<double>(now - grown_until_) /
                         std::chrono::duration<double>(kDoublingInterval);
  grown_until_ = now;
  double limit = FullAllowance(share);
  if (!answered_ && cause_ != PaceCause::kRefusals) {
    limit *= kUnansweredPart;
  }
  if (now < cold_until_) {
    limit = std::min<double>(limit, share.slots);
  }
  if (allowance_ < limit) {
    allowance_ = std::min(limit, allowance_ * std::exp2(intervals));
  }
}

void EndpointPace::Halve(const PaceShare& share, TimePoint now) {
  Grow(share, now);
  idle_since_ = std::max(idle_since_, now);
  // Answers to requests that were sent before the last cut say nothing about
  // the allowance after it.
  if (now < halved_at_ + kDoublingInterval) {
    return;
  }
  halved_at_ = now;
  allowance_ = std::max(MinAllowance(share),
                        std::min(allowance_, FullAllowance(share)) / 2);
  earned_ = std::floor(earned_ / 2);
  grown_until_ = now + kDoublingInterval;
}

bool EndpointPace::EndIfFull(const PaceShare& share, TimePoint now) {
  const bool full = active_ && now >= cold_until_ &&
                    allowance_ + earned_ >= FullAllowance(share);
  active_ = active_ && !full;
  return full;
}

bool EndpointPace::OnFirstEvent(double ratio,
                                const PaceShare& share,
                                TimePoint now) {
  refusals_ = {};
  silences_ = {};
  connect_failures_ = 0;
  if (!active_) {
    return false;
  }
  Grow(share, now);
  answered_ = true;
  if (ratio > kSlowRatio) {
    Halve(share, now);
    return false;
  }
  ++earned_;
  return EndIfFull(share, now);
}

bool EndpointPace::OnUnreachable(const PaceShare& share, TimePoint until) {
  ++connect_failures_;
  if (!active_ && connect_failures_ < kConnectFailureLimit) {
    return false;
  }
  const bool begins = !active_;
  Begin(PaceCause::kRecovery, share, until);
  return begins;
}

bool EndpointPace::OnRefused(const PaceShare& share, TimePoint now) {
  const bool in_trouble = refusals_.Add(now);
  if (active_) {
    Halve(share, now);
    return false;
  }
  if (!in_trouble) {
    return false;
  }
  Begin(PaceCause::kRefusals, share, now);
  return true;
}

bool EndpointPace::OnSilent(const PaceShare& share, TimePoint now) {
  const bool in_trouble = silences_.Add(now);
  if (active_) {
    Halve(share, now);
    return false;
  }
  if (!in_trouble) {
    return false;
  }
  Begin(PaceCause::kWakeUp, share, now);
  return true;
}

std::uint32_t EndpointPace::Limit(const PaceShare& share, TimePoint now) {
  if (!active_) {
    return kNoLimit;
  }
  if (now < from_) {
    return 0;
  }
  Grow(share, now);
  if (EndIfFull(share, now)) {
    return kNoLimit;
  }
  // Rounds up at the nodes of lowest rank, so that the limits of all nodes add
  // up to the allowance.
  const double part = allowance_ / static_cast<double>(share.nodes);
  const auto limit =
      static_cast<std::uint32_t>(std::ceil(part - share.rank) + earned_);
  const auto idle_time =
      std::chrono::duration_cast<Duration>(kMaxIdle * (1 + share.rank) / 2);
  const bool idle = !answered_ && now >= idle_since_ + idle_time;
  return idle ? std::max(limit, 1U) : limit;
}

std::uint32_t EndpointPace::LimitAlone(const PaceShare& share, TimePoint now) {
  const auto limit = Limit(share, now);
  const auto delay =
      std::chrono::duration_cast<Duration>(kAloneSpread * share.rank);
  return now >= from_ + delay ? std::max(limit, 1U) : limit;
}

}  // namespace tanagerloom
