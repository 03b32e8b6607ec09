#include "fleet/waiting_table.h"

#include <algorithm>

namespace tanagerloom {

namespace {

// Keeps the first `n` entries in the order of `before`.
template <typename Entry, typename Before>
void KeepFirst(std::vector<Entry>& entries, std::size_t n, Before before) {
  std::ranges::sort(entries, before);
  entries.resize(std::min(entries.size(), n));
}

}  // namespace

void WaitingTable::OnReport(const std::string& node,
                            const WaitingReport& report,
                            TimePoint now) {
  auto& service = services_[report.service];
  service.nodes[node] = {report, now};
  for (const auto& it : report.shares) {
    service.served[{it.customer, it.priority}] += it.served;
  }
}

WaitingReport WaitingTable::SumOf(const std::string& name,
                                  const Service& service) {
  std::map<std::string, WaitingClass> classes;
  std::map<ShareKey, CustomerShare> shares;
  for (const auto& [node, it] : service.nodes) {
    for (const auto& waiting : it.report.classes) {
      const WaitingClass none{waiting.model, waiting.priority, 0};
      auto& first = classes.try_emplace(waiting.model, none).first->second;
      if (waiting.priority < first.priority) {
        first = none;
      }
      first.waiting += waiting.priority == first.priority ? waiting.waiting : 0;
    }
    for (const auto& share : it.report.shares) {
      shares[{share.customer, share.priority}].waiting += share.waiting;
    }
  }
  for (const auto& [key, cost] : service.served) {
    shares[key].served = cost;
  }
  WaitingReport out{name, {}, {}};
  for (const auto& [model, it] : classes) {
    out.classes.push_back(it);
  }
  for (auto& [key, it] : shares) {
    it.customer = key.first;
    it.priority = key.second;
    out.shares.push_back(it);
  }
  KeepFirst(out.classes, kMaxClasses, [](const auto& a, const auto& b) {
    return std::pair(a.priority, b.waiting) < std::pair(b.priority, a.waiting);
  });
  KeepFirst(out.shares, kMaxShares,
            [](const auto& a, const auto& b) { return a.served > b.served; });
  return out;
}

std::vector<WaitingReport> WaitingTable::TakeSums(TimePoint now) {
  std::vector<WaitingReport> out;
  for (auto& [name, service] : services_) {
    std::erase_if(service.nodes, [&](const auto& it) {
      return now - it.second.received_at >= kNodeTimeout;
    });
    auto sum = SumOf(name, service);
    service.served.clear();
    if (!sum.classes.empty()) {
      out.push_back(std::move(sum));
    }
  }
  return out;
}

WaitingReport WithoutOwn(
    WaitingReport sum,
    const WaitingReport& own,
    const std::map<std::pair<std::string, std::uint32_t>, double>& own_served) {
  for (auto& it : sum.classes) {
    for (const auto& mine : own.classes) {
      if (mine.model == it.model && mine.priority == it.priority) {
        it.waiting -= std::min(it.waiting, mine.waiting);
      }
    }
  }
  for (auto& it : sum.shares) {
    const auto mine = own_served.find({it.customer, it.priority});
    it.served -=
        mine == own_served.end() ? 0 : std::min(it.served, mine->second);
  }
  return sum;
}

}  // namespace tanagerloom
