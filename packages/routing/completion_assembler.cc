#include "routing/completion_assembler.h"

#include <nlohmann/json.hpp>

namespace tanagerloom {

namespace {

using nlohmann::json;

// Fields whose pieces are not concatenated: they repeat or replace.
bool IsReplaced(std::string_view field) {
  return field == "role" || field == "id" || field == "type" ||
         field == "finish_reason" || field == "stop_reason" || field == "index";
}

void MergeArray(json& into, const json& piece);

// Merges a delta: strings are concatenated, lists with an index are merged by
// it, other lists are appended.
void MergeDelta(json& into, const json& piece) {
  for (const auto& [field, value] : piece.items()) {
    auto& slot = into[field];
    if (slot.is_null() || IsReplaced(field)) {
      if (!value.is_null()) {
        slot = value;
      }
    } else if (slot.is_string() && value.is_string()) {
      slot.get_ref<std::string&>() += value.get_ref<const std::string&>();
    } else if (slot.is_object() && value.is_object()) {
      MergeDelta(slot, value);
    } else if (slot.is_array() && value.is_array()) {
      MergeArray(slot, value);
    } else if (!value.is_null()) {
      slot = value;
    }
  }
}

void MergeArray(json& into, const json& piece) {
  for (const auto& item : piece) {
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

void MergeChunk(json& whole, const json& chunk) {
  for (const auto& [field, value] : chunk.items()) {
    if (field == "choices" && value.is_array()) {
      auto& choices = whole["choices"];
      if (!choices.is_array()) {
        choices = json::array();
      }
      MergeArray(choices, value);
    } else if (!value.is_null() || !whole.contains(field)) {
      whole[field] = value;
    }
  }
}

// Turns the merged chunk into the shape of a whole completion.
void Finish(json& whole) {
  if (whole.value("object", json()) == "chat.completion.chunk") {
    whole["object"] = "chat.completion";
  }
  for (auto& choice : whole["choices"]) {
    if (choice.is_object() && choice.contains("delta")) {
      choice["message"] = std::move(choice["delta"]);
      choice.erase("delta");
    }
  }
}

}  // namespace

Result<std::string> AssembleCompletion(std::string_view events) {
  constexpr std::string_view kData = "data:";
  json whole = json::object();
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
    MergeChunk(whole, chunk);
  }
  Finish(whole);
  return whole.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace tanagerloom
