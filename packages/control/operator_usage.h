// Defines UsageByOperator, which reports how much of the estate each operator
// uses, so that operators can see who uses the most.
#ifndef CONTROL_OPERATOR_USAGE_H_
#define CONTROL_OPERATOR_USAGE_H_

#include <nlohmann/json.hpp>

#include "config/estate.h"

namespace tanagerloom {

/// Returns the usage by operator:
/// {"OPERATOR":{"models","adapters","replicas_held",
/// "memory_held_mb","replicas_limit","memory_limit_mb","reserved_memory_mb",
/// "replicas_granted"}}. The "held" fields count the replicas in any state in
/// the placement records of `placement` ({"cells":[RECORD, ...]}). The "limit"
/// fields sum up the replica limits of the operator's file. The last two are
/// its grants, null if there is no limit.
nlohmann::json UsageByOperator(const Estate& estate,
                               const nlohmann::json& placement);

}  // namespace tanagerloom

#endif  // CONTROL_OPERATOR_USAGE_H_
