#include "forwarding/waiting_lists.h"

#include <algorithm>
#include <boost/fiber/fiber.hpp>
#include <chrono>
#include <vector>

#include "fleet/fleet_view.h"
#include "forwarding/request_times.h"

namespace tanagerloom {

namespace {

// Interval at which waiting requests get a turn without a signal, since
// backoffs, exclusions and pauses of endpoints end without one.
constexpr std::chrono::milliseconds kServeInterval{50};
// Interval of the checks that go through all requests of a list.
constexpr std::chrono::milliseconds kCheckInterval{200};

}  // namespace

// ---- requests

WaitingLists::List& WaitingLists::ListOf(const WaitTarget& target) {
  return lists_.try_emplace(target, shares_[target.service]).first->second;
}

void WaitingLists::Enter(WaitingRequest& request) {
  auto& list = ListOf(request.target);
  request.entry.id = ++last_id_;
  list.requests[request.entry.id] = &request;
  list.list.Add(request.entry);
  ++counts_[request.entry.priority];
  Serve(list);
  if (!request.ended) {
    EndHopeless(request.target, list);
    Review(list, request);
  }
  if (list.requests.empty()) {
    lists_.erase(request.target);
  }
  if (!lists_.empty() && !running_) {
    running_ = true;
    boost::fibers::fiber([this] { Loop(); }).detach();
  }
}

void WaitingLists::Leave(WaitingRequest& request) {
  const auto it = lists_.find(request.target);
  if (request.ended || it == lists_.end()) {
    return;
  }
  End(it->second, request);
  if (it->second.requests.empty()) {
    lists_.erase(it);
  }
}

void WaitingLists::End(List& list, WaitingRequest& request) {
  list.list.Remove(request.entry.id);
  list.requests.erase(request.entry.id);
  --counts_[request.entry.priority];
  request.ended = true;
  request.changed.Signal();
}

std::size_t WaitingLists::CountOf(std::uint32_t priority) const {
  const auto it = counts_.find(priority);
  return it == counts_.end() ? 0 : it->second;
}

// ---- turns

void WaitingLists::Loop() {
  auto& changed = view_.changed();
  auto seen = changed.count();
  while (!lists_.empty()) {
    changed.WaitUntil(seen, clock_.Now() + kServeInterval);
    seen = changed.count();
    ServeAll();
  }
  running_ = false;
}

void WaitingLists::ServeAll() {
  const auto now = clock_.Now();
  const bool stopping = now >= LatestStartBeforeStop(stop_at_());
  const bool check = now - checked_at_ >= kCheckInterval;
  if (check) {
    checked_at_ = now;
  }
  for (auto it = lists_.begin(); it != lists_.end();) {
    auto& [target, list] = *it;
    if (check) {
      list.list.OnEndpoints(EndpointsOf(target));
      EndForbidden(list);
    }
    list.list.ReturnSkipped();
    Serve(list);
    EndHopeless(target, list);
    while (stopping && !list.requests.empty()) {
      End(list, *list.requests.begin()->second);
    }
    it = list.requests.empty() ? lists_.erase(it) : std::next(it);
  }
}

std::size_t WaitingLists::EndpointsOf(const WaitTarget& target) const {
  const auto n = view_.Candidates(target.service, target.model, {}).size();
  const bool paused =
      view_.PausedUntil(target.service, target.model).has_value();
  return n == 0 && paused ? 1 : n;
}

void WaitingLists::OnPlaceFreed(const std::string& service,
                                const std::string& endpoint) {
  auto it = lists_.lower_bound(WaitTarget{service, {}});
  while (it != lists_.end() && it->first.service == service) {
    auto& [target, list] = *it;
    if (view_.CanRun(endpoint, target.model)) {
      list.list.ReturnSkipped();
      Serve(list);
    }
    it = list.requests.empty() ? lists_.erase(it) : std::next(it);
  }
}

void WaitingLists::Serve(List& list) {
  const auto now = clock_.Now();
  // A fiber may be late to end its wait, most of all after a suspension.
  EndBefore(list, now);
  const auto has_place = [&list](std::uint64_t id) {
    return list.requests.at(id)->has_place();
  };
  if (list.list.LeavesPlace(has_place, now)) {
    return;
  }
  const auto taken = list.list.Serve(
      [&list](std::uint64_t id) { return list.requests.at(id)->offer(); }, now);
  for (const auto id : taken) {
    End(list, *list.requests.at(id));
  }
}

// ---- exchange with other nodes

std::vector<WaitingReport> WaitingLists::TakeReports() {
  std::vector<WaitingReport> out;
  for (auto& [service, shares] : shares_) {
    std::map<std::pair<std::string, std::uint32_t>, std::uint32_t> classes;
    std::map<std::pair<std::string, std::uint32_t>, CustomerShare> customers;
    for (auto it = lists_.lower_bound(WaitTarget{service, {}});
         it != lists_.end() && it->first.service == service; ++it) {
      for (const auto* entry : it->second.list.ShortOfPlaces()) {
        ++classes[{it->first.model.ToString(), entry->priority}];
        ++customers[{entry->customer, entry->priority}].waiting;
      }
    }
    for (const auto& [key, by_customer] : shares.TakeServed()) {
      for (const auto& [customer, cost] : by_customer) {
        customers[{customer, key.rank}].served = cost;
      }
    }
    WaitingReport report{service, {}, {}};
    for (const auto& [key, n] : classes) {
      report.classes.push_back({key.first, key.second, n});
    }
    for (auto& [key, share] : customers) {
      share.customer = key.first;
      share.priority = key.second;
      report.shares.push_back(std::move(share));
    }
    out.push_back(std::move(report));
  }
  return out;
}

void WaitingLists::OnElsewhere(const WaitingReport& elsewhere,
                               TimePoint until) {
  const auto shares = shares_.find(elsewhere.service);
  if (shares == shares_.end()) {
    return;
  }
  for (const auto& it : elsewhere.shares) {
    shares->second.OnServedElsewhere({false, it.priority}, it.customer,
                                     it.served);
  }
  for (const auto& it : elsewhere.classes) {
    const auto list = lists_.find({elsewhere.service, ParseModelRef(it.model)});
    if (it.waiting > 0 && list != lists_.end()) {
      list->second.list.OnWaitingElsewhere(it.priority, until);
    }
  }
}

// ---- waits that end without a place

void WaitingLists::EndHopeless(const WaitTarget& target, List& list) {
  const auto ready_at = view_.ReadyAt(target.service, target.model.model);
  const auto paused_until = view_.PausedUntil(target.service, target.model);
  const auto not_before = std::max(ready_at.value_or(TimePoint::min()),
                                   paused_until.value_or(TimePoint::min()));
  EndBefore(list, not_before);
}

void WaitingLists::EndBefore(List& list, TimePoint time) {
  for (const auto id : list.list.EndingBefore(time)) {
    End(list, *list.requests.at(id));
  }
}

void WaitingLists::EndForbidden(List& list) {
  std::vector<WaitingRequest*> ended;
  for (const auto& [id, request] : list.requests) {
    if (request->must_end()) {
      ended.push_back(request);
    }
  }
  for (auto* it : ended) {
    End(list, *it);
  }
}

void WaitingLists::Review(List& list, WaitingRequest& request) {
  if (request.ended || !request.refusable) {
    return;
  }
  request.too_long = list.list.Review(request.entry.id, clock_.Now());
  if (request.too_long) {
    End(list, request);
  }
}

}  // namespace tanagerloom
