// Defines how the files of all operators become one Estate, with the rules that
// need more than one file: names, grants and memory.
#ifndef CONFIG_ESTATE_BUILDER_H_
#define CONFIG_ESTATE_BUILDER_H_

#include <cstdint>
#include <span>
#include <vector>

#include "config/operator_file.h"

namespace tanagerloom {

/// An estate, or every problem between the files.
struct EstateOutcome {
  Estate estate;
  std::vector<ConfigProblem> problems;  ///< Empty if the estate is valid.
};

/// Builds the estate of valid files. One of them must be the estate file.
EstateOutcome BuildEstate(std::uint64_t version,
                          std::span<const OperatorFile* const> files);

}  // namespace tanagerloom

#endif  // CONFIG_ESTATE_BUILDER_H_
