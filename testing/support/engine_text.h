// Defines the text that the engine stand-in generates. It is a function of the
// model and the prompt, so that a test detects a swapped or truncated answer.
#ifndef TESTING_SUPPORT_ENGINE_TEXT_H_
#define TESTING_SUPPORT_ENGINE_TEXT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace tanagerloom::testing_support {

/// Returns token number `index` of the answer, with a trailing space. `model`
/// is the name in the request, such as "BASE:ADAPTER".
std::string EngineToken(std::string_view model,
                        std::string_view prompt,
                        int index);

/// Returns the whole answer of `tokens` tokens.
std::string EngineText(std::string_view model,
                       std::string_view prompt,
                       int tokens);

/// Returns the prompt of a completion request, or the joined messages of a chat
/// completion request.
std::string PromptOf(const nlohmann::json& body);

}  // namespace tanagerloom::testing_support

#endif  // TESTING_SUPPORT_ENGINE_TEXT_H_
