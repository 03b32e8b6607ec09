// Tests of the invariants of placement records. Guards against a check that
// does not abort the process on a violation before the record is written.
#include <gtest/gtest.h>

#include "decision/record_operations.h"

namespace tanagerloom {
namespace {

Estate MakeEstate() {
  Estate estate;
  auto& model = estate.models["m"];
  model.version = "1";
  model.replica_limit = 1;
  model.adapters["a"].replica_limit = 1;
  return estate;
}

CellRecord MakeRecord(const std::vector<ReplicaRecord>& replicas) {
  CellRecord record;
  record.engines["s1"].memory_mb = 100;
  record.engines["s2"].memory_mb = 100;
  record.engines["s1"].replicas = replicas;
  return record;
}

ReplicaRecord MakeReplica(const std::string& adapter, std::uint64_t memory_mb) {
  ReplicaRecord replica;
  replica.key = {"m", "1", adapter};
  replica.memory_mb = memory_mb;
  return replica;
}

TEST(PlacementInvariantsDeathTest, ReservedMemoryAboveCapacityAborts) {
  const auto next = MakeRecord({MakeReplica("", 101)});
  EXPECT_DEATH(CheckRecord({}, next, MakeEstate()),
               "reserved_memory_within_capacity");
}

TEST(PlacementInvariantsDeathTest, ReplicaAboveTheLimitAborts) {
  auto next = MakeRecord({MakeReplica("", 10)});
  next.engines["s2"].replicas = {MakeReplica("", 10)};
  EXPECT_DEATH(CheckRecord({}, next, MakeEstate()), "replicas_within_limit");
  // A limit lowered below the existing number of replicas is no violation.
  CheckRecord(next, next, MakeEstate());
}

TEST(PlacementInvariantsDeathTest, TwoReplicasOfAKeyOnAnEngineAbort) {
  const auto next = MakeRecord({MakeReplica("", 10), MakeReplica("", 10)});
  EXPECT_DEATH(CheckRecord(next, next, MakeEstate()),
               "one_replica_of_a_key_per_server");
}

TEST(PlacementInvariantsDeathTest, AdapterWithoutItsBaseAborts) {
  const auto next = MakeRecord({MakeReplica("a", 10)});
  EXPECT_DEATH(CheckRecord({}, next, MakeEstate()), "adapter_has_its_base");
}

TEST(PlacementInvariantsDeathTest, AdapterInUseOnAnUnloadingBaseAborts) {
  auto next = MakeRecord({MakeReplica("", 10), MakeReplica("a", 10)});
  CheckRecord({}, next, MakeEstate());
  next.engines["s1"].replicas[0].state = ReplicaState::kUnloading;
  EXPECT_DEATH(CheckRecord({}, next, MakeEstate()), "adapter_has_its_base");
}

}  // namespace
}  // namespace tanagerloom
