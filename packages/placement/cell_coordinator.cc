#include "placement/cell_coordinator.h"

#include <chrono>
#include <cstdint>
#include <utility>

#include "base/id.h"
#include "ports/peer_network.h"

namespace tanagerloom {

namespace {

// With 530 nodes, hashing all members for each message would cost too much.
constexpr std::chrono::milliseconds kCacheTime{20};

}  // namespace

CellCoordinator::CellCoordinator(const PeerNetwork& peers,
                                 const Clock& clock,
                                 std::string cell)
    : peers_(peers), clock_(clock), cell_(std::move(cell)) {}

const std::string& CellCoordinator::Node() const {
  const auto now = clock_.Now();
  if (cached_until_ && now < *cached_until_) {
    return cached_node_;
  }
  cached_node_.clear();
  std::uint64_t best_hash = 0;
  for (const auto& id : peers_.LiveIds()) {
    const auto hash = StableHash(cell_ + "/" + id);
    if (cached_node_.empty() || hash > best_hash) {
      cached_node_ = id;
      best_hash = hash;
    }
  }
  cached_until_ = now + kCacheTime;
  return cached_node_;
}

bool CellCoordinator::IsSelf() const {
  return Node() == peers_.node_id();
}

void CellCoordinator::ActFor(Duration time) {
  acting_until_ = clock_.Now() + time;
}

bool CellCoordinator::IsActing() const {
  return acting_until_ && clock_.Now() < *acting_until_;
}

bool CellCoordinator::HasBeenSelfFor(Duration time) const {
  return IsSelf() && self_since_ && clock_.Now() >= *self_since_ + time;
}

void CellCoordinator::Update() {
  if (!IsSelf()) {
    self_since_.reset();
  } else if (!self_since_) {
    self_since_ = clock_.Now();
  }
}

void CellCoordinator::Reset() {
  self_since_.reset();
  acting_until_.reset();
}

}  // namespace tanagerloom
