#include "http/request_memory.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// Eighths of the budget that requests may fill. The rest stays for responses,
// without which the requests that were accepted could not end; small requests
// may take part of it, so that a few clients with long bodies leave room for
// all others.
constexpr std::size_t kBudgetParts = 8;
constexpr std::size_t kLargeRequestParts = 5;
constexpr std::size_t kSmallRequestParts = 6;
// Least progress of a client in the stall time: a fixed number of bytes, or a
// fraction of the memory that its request holds if that is more.
constexpr std::size_t kMinProgressBytes = 16UL * 1024;
constexpr std::size_t kMinProgressDivisor = 32;

}  // namespace

bool RequestMemory::Fits(const RequestMemoryUse& use, std::size_t bytes) const {
  const bool small = bytes <= kSmallRequestBytes + kConnectionBytes;
  const auto limit = budget_.max_bytes() / kBudgetParts *
                     (small ? kSmallRequestParts : kLargeRequestParts);
  return budget_.used_bytes() - use.bytes() + bytes <= limit;
}

bool RequestMemory::AddConnection(RequestMemoryUse& use) {
  if (!Fits(use, kConnectionBytes)) {
    return false;
  }
  use.share_.Set(kConnectionBytes);
  return true;
}

void RequestMemory::RemoveConnection(RequestMemoryUse& use) {
  EndRead(use, 0);
  use.share_.Set(0);
}

void RequestMemory::BeginRead(RequestMemoryUse& use, TimePoint now) {
  use.reading_ = true;
  use.progress_at_ = now;
  use.progress_bytes_ = 0;
  use.place_ = reading_.insert(reading_.end(), &use);
}

void RequestMemory::OnProgress(RequestMemoryUse& use,
                               std::size_t arrived,
                               TimePoint now) {
  const auto least =
      std::max(kMinProgressBytes, use.bytes() / kMinProgressDivisor);
  if (arrived >= use.progress_bytes_ + least) {
    use.progress_at_ = now;
    use.progress_bytes_ = arrived;
  }
}

MemoryDecision RequestMemory::Grow(RequestMemoryUse& use,
                                   std::size_t bytes,
                                   TimePoint now) {
  bytes += kConnectionBytes;
  if (bytes <= use.bytes()) {
    return MemoryDecision::kGranted;
  }
  const bool small = bytes <= kSmallRequestBytes + kConnectionBytes;
  const bool next = small || waiting_.empty() || waiting_.front() == &use;
  if (next && Fits(use, bytes)) {
    if (use.waiting_) {
      StopWaiting(use);
      use.progress_at_ = now;
    }
    use.share_.Set(bytes);
    return MemoryDecision::kGranted;
  }
  if (!use.waiting_ && waiting_.size() < kMaxWaiting) {
    use.waiting_ = true;
    use.waits_since_ = now;
    waiting_.push_back(&use);
    return MemoryDecision::kWait;
  }
  if (use.waiting_ && now - use.waits_since_ < kMaxWait) {
    return MemoryDecision::kWait;
  }
  ++refused_;
  return MemoryDecision::kRefused;
}

void RequestMemory::EndRead(RequestMemoryUse& use, std::size_t bytes) {
  if (use.waiting_) {
    StopWaiting(use);
  }
  if (use.reading_) {
    use.reading_ = false;
    reading_.erase(use.place_);
  }
  use.share_.Set(std::min(use.bytes(), bytes + kConnectionBytes));
}

bool RequestMemory::EndStalled(TimePoint now) {
  RequestMemoryUse* out = nullptr;
  for (auto* it : reading_) {
    if (!it->waiting_ && now - it->progress_at_ >= kStallTime &&
        (out == nullptr || it->bytes() > out->bytes())) {
      out = it;
    }
  }
  if (out == nullptr) {
    return false;
  }
  ++ended_;
  out->progress_at_ = now;  // Not chosen again while its read ends.
  out->end_read_();
  return true;
}

void RequestMemory::StopWaiting(RequestMemoryUse& use) {
  use.waiting_ = false;
  waiting_.remove(&use);
}

}  // namespace tanagerloom
