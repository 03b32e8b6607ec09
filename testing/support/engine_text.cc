#include "testing/support/engine_text.h"

#include <cstdio>

#include "base/id.h"

namespace tanagerloom::testing_support {

std::string EngineToken(std::string_view model,
                        std::string_view prompt,
                        int index) {
  const std::string seed = std::string(model) + "\n" + std::string(prompt);
  char buf[32];
  std::snprintf(buf, sizeof(buf), "%08x-%d ",
                static_cast<unsigned>(StableHash(seed)), index);
  return buf;
}

std::string EngineText(std::string_view model,
                       std::string_view prompt,
                       int tokens) {
  std::string text;
  for (int i = 0; i < tokens; ++i) {
    text += EngineToken(model, prompt, i);
  }
  return text;
}

std::string PromptOf(const nlohmann::json& body) {
  if (!body.contains("messages")) {
    return body.value("prompt", std::string());
  }
  std::string prompt;
  for (const auto& it : body["messages"]) {
    prompt += it.value("content", std::string()) + "\n";
  }
  return prompt;
}

}  // namespace tanagerloom::testing_support
