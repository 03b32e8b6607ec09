// Defines ConfigProblem, one finding of the checks of settings and
// configuration files.
#ifndef CONFIG_PROBLEM_H_
#define CONFIG_PROBLEM_H_

#include <string>
#include <vector>

namespace tanagerloom {

/// One problem of a settings or configuration file.
struct ConfigProblem {
  std::string where;  ///< "line 12" or a JSON path such as "/models/0/name".
  std::string what;   ///< The bad value and what is allowed.
};

/// The problems as text, one "WHERE: WHAT" a line.
std::string ToText(const std::vector<ConfigProblem>& problems);

}  // namespace tanagerloom

#endif  // CONFIG_PROBLEM_H_
