// Defines ConfigProblem, with which the checks of settings and configuration
// files report what is wrong.
#ifndef CONFIG_PROBLEM_H_
#define CONFIG_PROBLEM_H_

#include <string>
#include <vector>

namespace tanagerloom {

/// One problem of a settings or configuration file.
struct ConfigProblem {
  std::string where;  ///< "line 12" or a JSON path such as "/models/a/pool".
  std::string what;   ///< The invalid value and what is allowed.
};

/// Formats the problems as text, one "WHERE: WHAT" per line.
std::string ToText(const std::vector<ConfigProblem>& problems);

}  // namespace tanagerloom

#endif  // CONFIG_PROBLEM_H_
