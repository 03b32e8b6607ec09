// Defines OperatorFile, a configuration file that an operator applies. Each
// file states everything that its operator offers. The file of the operator
// "estate" states what all operators share: pools, precedence classes, limits
// of the weight store and grants.
#ifndef CONFIG_OPERATOR_FILE_H_
#define CONFIG_OPERATOR_FILE_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/estate.h"
#include "config/problem.h"

namespace tanagerloom {

/// Name of the operator that owns the estate file.
inline constexpr std::string_view kEstateOperator = "estate";

/// One parsed configuration file. Models, services and clients are those of an
/// operator's own file; pools, classes, operators and the weight store are set
/// only in the estate file.
struct OperatorFile {
  std::string operator_name;

  std::map<std::string, ModelSpec, std::less<>> models;
  std::map<std::string, ServiceSpec, std::less<>> services;
  std::map<std::string, ClientSpec, std::less<>> clients;

  std::map<std::string, PoolSpec, std::less<>> pools;
  std::map<std::string, PrecedenceClass, std::less<>> classes;
  std::map<std::string, OperatorGrant, std::less<>> operators;
  WeightStoreLimits weight_store;

  bool is_estate() const { return operator_name == kEstateOperator; }

  /// Whether the file offers nothing. Applying such a file removes its operator
  /// from the configuration.
  bool empty() const {
    return !is_estate() && models.empty() && services.empty() &&
           clients.empty();
  }
};

/// A file, or all problems of its text.
struct OperatorFileOutcome {
  OperatorFile file;
  std::vector<ConfigProblem> problems;  ///< Empty if the file is valid.
};

/// Parses a file from JSON with comments and checks all rules that involve no
/// other file.
OperatorFileOutcome ParseOperatorFile(std::string_view text);

/// Replaces digests and salts by their first characters, so that output shows
/// that one has changed but does not allow a brute-force search for its secret.
void RedactDigests(nlohmann::json& value);

}  // namespace tanagerloom

#endif  // CONFIG_OPERATOR_FILE_H_
