// Counts what a free place costs while 10,000 requests wait, beside waking all
// of them, which the forwarding path did before. Guards against a cost that
// grows with the number of waiting requests.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "decision/fair_queue.h"
#include "forwarding/waiting_list.h"
#include "tests/support/processor_time.h"

namespace tanagerloom {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{1h};
constexpr std::uint64_t kChanges = 200;

// What the places of `kChanges` changes cost, one place for each.
struct Cost {
  double offers = 0;  ///< For each change.
  double ms = 0;      ///< Processor time in all.
};

// Stands for the choice of an endpoint among 90: the same work for each offer.
bool Choose(std::uint64_t id, bool& room) {
  volatile std::uint64_t sum = 0;
  for (std::uint64_t i = 0; i < 90; ++i) {
    sum = sum + i * id;
  }
  return std::exchange(room, false);
}

Cost MeasureList(std::uint64_t waiting) {
  FairShares shares;
  WaitingList list(shares);
  for (std::uint64_t id = 0; id < waiting; ++id) {
    list.Add({id, static_cast<std::uint32_t>(id % 4),
              "customer " + std::to_string(id % 97), 1.0,
              kStart + std::chrono::milliseconds(id % 1009)});
  }
  Cost out;
  std::uint64_t offers = 0;
  const auto started = ProcessorMs();
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    bool room = true;
    const auto taken = list.Serve(
        [&](std::uint64_t id) {
          ++offers;
          return Choose(id, room) ? OfferResult::kTaken : OfferResult::kNoPlace;
        },
        kStart);
    EXPECT_EQ(taken.size(), 1U);
  }
  out.ms = ProcessorMs() - started;
  out.offers = static_cast<double>(offers) / kChanges;
  return out;
}

// All requests wake, and the first takes the place.
Cost MeasureWakingAll(std::uint64_t waiting) {
  std::vector<std::uint64_t> ids(waiting);
  Cost out;
  std::uint64_t offers = 0;
  const auto started = ProcessorMs();
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    bool room = true;
    std::erase_if(ids, [&](std::uint64_t id) {
      ++offers;
      return Choose(id, room);
    });
  }
  out.ms = ProcessorMs() - started;
  out.offers = static_cast<double>(offers) / kChanges;
  return out;
}

TEST(WaitingListCost, DoesNotGrowWithTheNumberOfWaitingRequests) {
  for (const std::uint64_t n : {1000U, 10000U}) {
    const auto list = MeasureList(n);
    const auto waking = MeasureWakingAll(n);
    std::printf(
        "%llu waiting: offers a place %.1f, waking all %.1f; time ratio %.1f\n",
        static_cast<unsigned long long>(n), list.offers, waking.offers,
        waking.ms / std::max(list.ms, 0.001));
    // The place, and one offer that finds no further one.
    EXPECT_LE(list.offers, 2);
  }
}

}  // namespace
}  // namespace tanagerloom
