// Defines the configuration files that operators apply. Each file states all
// that its operator offers; the file of the operator "estate" states what is
// shared: pools, precedence classes, weight store limits and grants.
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

/// The operator that owns the estate file.
inline constexpr std::string_view kEstateOperator = "estate";

/// One parsed configuration file. The estate file fills the second group of
/// fields, every other file the first.
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

  /// Whether the file offers nothing. Applying such a file takes its operator
  /// out of the configuration.
  bool empty() const {
    return !is_estate() && models.empty() && services.empty() &&
           clients.empty();
  }
};

/// A file, or every problem of its text.
struct OperatorFileOutcome {
  OperatorFile file;
  std::vector<ConfigProblem> problems;  ///< Empty if the file is valid.
};

/// Reads a file from JSON with comments and checks what needs no other file.
OperatorFileOutcome ParseOperatorFile(std::string_view text);

/// Replaces digests and salts by their first characters, so that a change of
/// one can be seen in output but the value can't be attacked.
void RedactDigests(nlohmann::json& value);

}  // namespace tanagerloom

#endif  // CONFIG_OPERATOR_FILE_H_
