// Defines ParseJsonText, which parses JSON with comments within limits that
// make malicious or damaged files harmless.
#ifndef CONFIG_JSON_TEXT_H_
#define CONFIG_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "config/problem.h"

namespace tanagerloom {

/// Parses JSON with comments. Appends a problem for a syntax error, a duplicate
/// key or too deep nesting. Returns null after a syntax error or too deep
/// nesting.
nlohmann::json ParseJsonText(std::string_view text,
                             std::vector<ConfigProblem>& problems);

/// Formats a value for a message; long values are truncated.
std::string FormatValue(const nlohmann::json& value);

}  // namespace tanagerloom

#endif  // CONFIG_JSON_TEXT_H_
