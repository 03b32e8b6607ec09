// Defines BuildEstate, which combines the configuration files of all operators
// into one Estate and checks the rules between files: unique names, grants and
// memory.
#ifndef CONFIG_ESTATE_BUILDER_H_
#define CONFIG_ESTATE_BUILDER_H_

#include <cstdint>
#include <span>
#include <vector>

#include "config/operator_file.h"

namespace tanagerloom {

/// An estate, or all problems found between the files.
struct EstateOutcome {
  Estate estate;
  std::vector<ConfigProblem> problems;  ///< Empty if the estate is valid.
};

/// Builds the estate with `version` from files that are valid by themselves.
/// One of them must be the estate file. Files that offer nothing are ignored.
EstateOutcome BuildEstate(std::uint64_t version,
                          std::span<const OperatorFile* const> files);

}  // namespace tanagerloom

#endif  // CONFIG_ESTATE_BUILDER_H_
