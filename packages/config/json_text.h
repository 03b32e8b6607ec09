// Defines how JSON with comments is read, with the limits that keep hostile or
// damaged files harmless.
#ifndef CONFIG_JSON_TEXT_H_
#define CONFIG_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "config/problem.h"

namespace tanagerloom {

/// Reads JSON with comments. A syntax error, a repeated key and too deep
/// nesting are problems; the value is null after a syntax error.
nlohmann::json ParseJsonText(std::string_view text,
                             std::vector<ConfigProblem>& problems);

/// A value for a message, cut to a readable length.
std::string FormatValue(const nlohmann::json& value);

}  // namespace tanagerloom

#endif  // CONFIG_JSON_TEXT_H_
