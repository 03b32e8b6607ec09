#include "routing/completion_assembler.h"

#include <nlohmann/json.hpp>

namespace tanagerloom {

namespace {

using nlohmann::json;

// Whether a string field of a delta replaces the previous value instead of
// being appended to it.
bool IsReplaced(std::string_view field) {
  return field == "role" || field == "id" || field == "type" ||
         field == "finish_reason" || field == "stop_reason" || field == "index";
}

void MergeArray(json& into, const json& delta);

// Merges a delta into `into`: strings are concatenated, list items with an
// "index" are merged with the item of the same index, and other list items are
// appended.
void MergeDelta(json& into, const json& delta) {
  for (const auto& [field, value] : delta.items()) {
    auto& merged = into[field];
    if (merged.is_null() || IsReplaced(field)) {
      if (!value.is_null()) {
        merged = value;
      }
    } else if (merged.is_string() && value.is_string()) {
      merged.get_ref<std::string&>() += value.get_ref<const std::string&>();
    } else if (merged.is_object() && value.is_object()) {
      MergeDelta(merged, value);
    } else if (merged.is_array() && value.is_array()) {
      MergeArray(merged, value);
    } else if (!value.is_null()) {
      merged = value;
    }
  }
}

void MergeArray(json& into, const json& delta) {
  for (const auto& item : delta) {
    json* match = nullptr;
    if (item.is_object() && item.contains("index")) {
      for (auto& it : into) {
        if (it.is_object() && it.value("index", json()) == item["index"]) {
          match = &it;
        }
      }
    }
    if (match != nullptr) {
      MergeDelta(*match, item);
    } else {
      into.push_back(item);
    }
  }
}

// Merges a chunk into the completion; fields other than "choices" are replaced.
void MergeChunk(json& completion, const json& chunk) {
  for (const auto& [field, value] : chunk.items()) {
    if (field == "choices" && value.is_array()) {
      auto& choices = completion["choices"];
      if (!choices.is_array()) {
        choices = json::array();
      }
      MergeArray(choices, value);
    } else if (!value.is_null() || !completion.contains(field)) {
      completion[field] = value;
    }
  }
}

// Converts merged chunks into the form of a whole completion.
void ConvertToCompletion(json& completion) {
  if (completion.value("object", json()) == "chat.completion.chunk") {
    completion["object"] = "chat.completion";
  }
  for (auto& choice : completion["choices"]) {
    if (choice.is_object() && choice.contains("delta")) {
      choice["message"] = std::move(choice["delta"]);
      choice.erase("delta");
    }
  }
}

}  // namespace

Result<std::string> AssembleCompletion(std::string_view events) {
  constexpr std::string_view kData = "data:";
  json completion = json::object();
  while (!events.empty()) {
    const auto end = events.find('\n');
    auto line = events.substr(0, end);
    events = end == std::string_view::npos ? std::string_view()
                                           : events.substr(end + 1);
    if (!line.starts_with(kData)) {
      continue;
    }
    line.remove_prefix(kData.size());
    const auto first = line.find_first_not_of(' ');
    line = first == std::string_view::npos ? std::string_view()
                                           : line.substr(first);
    if (line.starts_with("[DONE]")) {
      break;
    }
    const auto chunk = json::parse(line, nullptr, /*allow_exceptions=*/false);
    if (!chunk.is_object()) {
      return MakeError(ErrorKind::kUnknown,
                       "the engine sent a chunk that is not a JSON object");
    }
    MergeChunk(completion, chunk);
  }
  ConvertToCompletion(completion);
  return completion.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace tanagerloom
