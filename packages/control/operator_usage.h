// Defines what each operator uses of the estate, for operators who want to see
// what the largest member asks of it.
#ifndef CONTROL_OPERATOR_USAGE_H_
#define CONTROL_OPERATOR_USAGE_H_

#include <nlohmann/json.hpp>

#include "config/estate.h"

namespace tanagerloom {

/// Use by operator: {"OPERATOR":{"models","adapters","replicas_held",
/// "memory_held_mb","replicas_limit","memory_limit_mb","reserved_memory_mb",
/// "replicas_granted"}}. Held is what the placement records of `placement`
/// ({"cells":[RECORD, ...]}) list in any state, limit the sum over the file's
/// replica limits; the last two are the grants, null if there is no limit.
nlohmann::json UsageByOperator(const Estate& estate,
                               const nlohmann::json& placement);

}  // namespace tanagerloom

#endif  // CONTROL_OPERATOR_USAGE_H_
