#include "forwarding/waiting_list.h"

#include "decision/admission_estimate.h"

namespace tanagerloom {

namespace {

// Limit on the places that one Serve() offers. It bounds its time; the next one
// goes on with the requests after these.
constexpr int kMaxOffers = 32;

FairEntry ToFairEntry(const WaitingEntry& entry) {
  return {entry.id,       entry.priority,     /*deferred=*/false,
          entry.customer, entry.latest_start, entry.cost};
}

}  // namespace

void WaitingList::Push(const WaitingEntry& entry) {
  queue_.Push(ToFairEntry(entry));
}

void WaitingList::Add(const WaitingEntry& entry) {
  entries_[entry.id] = entry;
  by_latest_start_.emplace(entry.latest_start, entry.id);
  Push(entry);
}

void WaitingList::Remove(std::uint64_t id) {
  const auto it = entries_.find(id);
  if (it == entries_.end()) {
    return;
  }
  by_latest_start_.erase({it->second.latest_start, id});
  entries_.erase(it);
  skipped_.erase(id);
  queue_.Remove(id);
  if (entries_.empty()) {
    places_.Reset();
  }
}

std::vector<std::uint64_t> WaitingList::Serve(const FairQueue::Offer& offer,
                                              TimePoint now) {
  std::vector<std::uint64_t> out;
  std::vector<std::uint64_t> skipped;
  bool no_place = false;
  int offers = 0;
  const auto offer_place = [&](std::uint64_t id) {
    ++offers;
    const auto result = offer(id);
    no_place = result == OfferResult::kNoPlace;
    if (result == OfferResult::kSkipped) {
      skipped.push_back(id);
    }
    return result;
  };
  bool progress = true;
  while (progress && !no_place && offers < kMaxOffers) {
    const bool later = ComesAfterOthers(now);
    const auto taken = queue_.TakeOffered(offer_place);
    progress = taken.has_value() || !skipped.empty();
    SetAside(skipped);
    skipped.clear();
    if (taken) {
      if (later) {
        shares_.OnLaterClassTurn();
        no_place = true;  // The next turn is theirs.
      }
      places_.OnPlace(now);
      out.push_back(*taken);
      Remove(*taken);
    }
  }
  stopped_early_ = progress && !no_place;
  if (stopped_early_) {
    return out;
  }
  // Without a request that waits for nothing but a place, places free no slower
  // than they are wanted.
  if (no_place) {
    places_.OnWaiting(now);
  } else {
    places_.Reset();
  }
  return out;
}

bool WaitingList::ComesAfterOthers(TimePoint now) const {
  return now < elsewhere_.until && places_.is_short() && !queue_.empty() &&
         queue_.BestRank() > elsewhere_.priority;
}

bool WaitingList::LeavesPlace(const FairQueue::Eligible& has_place,
                              TimePoint now) {
  if (!ComesAfterOthers(now) ||
      shares_.first_class_turns() + 1 >= FairQueue::kLaterClassPeriod) {
    return false;
  }
  bool leaves = false;
  queue_.TakeOffered([&](std::uint64_t id) {
    leaves = has_place(id);
    return OfferResult::kNoPlace;
  });
  if (leaves) {
    shares_.OnFirstClassTurn();
  }
  return leaves;
}

std::vector<const WaitingEntry*> WaitingList::ShortOfPlaces() const {
  std::vector<const WaitingEntry*> out;
  if (endpoints_ == 0) {
    return out;  // These wait for a model to be loaded.
  }
  for (const auto& [id, entry] : entries_) {
    if (!skipped_.contains(id)) {
      out.push_back(&entry);
    }
  }
  return out;
}

void WaitingList::SetAside(std::span<const std::uint64_t> ids) {
  for (const auto id : ids) {
    queue_.Remove(id);
    skipped_.insert(id);
  }
}

void WaitingList::ReturnSkipped() {
  if (stopped_early_) {
    return;  // The requests after these have their turn first.
  }
  for (const auto id : skipped_) {
    Push(entries_.at(id));
  }
  skipped_.clear();
}

std::vector<std::uint64_t> WaitingList::EndingBefore(TimePoint time) const {
  std::vector<std::uint64_t> out;
  for (const auto& [latest_start, id] : by_latest_start_) {
    if (latest_start >= time) {
      break;
    }
    out.push_back(id);
  }
  return out;
}

void WaitingList::OnEndpoints(std::size_t n) {
  if (n > endpoints_) {
    places_.Reset();
  }
  endpoints_ = n;
}

std::optional<WaitTooLong> WaitingList::Review(std::uint64_t id,
                                               TimePoint now) const {
  const auto it = entries_.find(id);
  const auto interval = places_.Interval();
  if (it == entries_.end() || !interval) {
    return std::nullopt;
  }
  AdmissionInput input;
  input.ahead = queue_.CountAhead(ToFairEntry(it->second));
  input.slots = 1;
  input.service_time = *interval;
  input.remaining = it->second.latest_start - now;
  const auto refusal = ReviewAdmission(input);
  if (!refusal) {
    return std::nullopt;
  }
  return WaitTooLong{input.ahead, *interval,
                     EstimateWait(input).value_or(Duration(0)),
                     refusal->retry_after};
}

}  // namespace tanagerloom
