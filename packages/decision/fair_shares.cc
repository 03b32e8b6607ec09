#include "decision/fair_shares.h"

#include <algorithm>

namespace tanagerloom {

double FairShares::BeginWait(const ClassKey& key, const std::string& customer) {
  auto& state = classes_[key];
  auto& time = state.customers[customer];
  time = std::max(time, state.time);
  return time;
}

double FairShares::TimeOf(const ClassKey& key,
                          const std::string& customer) const {
  const auto state = classes_.find(key);
  if (state == classes_.end()) {
    return 0;
  }
  const auto it = state->second.customers.find(customer);
  return it == state->second.customers.end() ? state->second.time : it->second;
}

void FairShares::OnServed(const ClassKey& key,
                          const std::string& customer,
                          double cost) {
  auto& state = classes_[key];
  auto& time = state.customers[customer];
  state.time = std::max(state.time, time);
  state.last_turn = ++turns_;
  time += cost;
  served_[key][customer] += cost;
}

void FairShares::OnServedElsewhere(const ClassKey& key,
                                   const std::string& customer,
                                   double cost) {
  auto& state = classes_[key];
  auto& time = state.customers[customer];
  // As for a turn here: a customer that did not wait meanwhile gets no credit
  // for all that others were served elsewhere.
  time = std::max(time, state.time);
  state.time = time;
  time += cost;
}

std::uint64_t FairShares::LastTurnOf(const ClassKey& key) const {
  const auto it = classes_.find(key);
  return it == classes_.end() ? 0 : it->second.last_turn;
}

}  // namespace tanagerloom
