#include "config/file_diff.h"

#include <map>
#include <set>
#include <utility>

#include "config/json_text.h"
#include "config/operator_file.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxSummaryNames = 3;

std::set<std::string> Keys(const json& a, const json& b) {
  std::set<std::string> out;
  for (const auto* value : {&a, &b}) {
    if (value->is_object()) {
      for (const auto& it : value->items()) {
        out.insert(it.key());
      }
    }
  }
  return out;
}

const json* FindField(const json& value, const std::string& key) {
  const auto it = value.is_object() ? value.find(key) : value.end();
  return it == value.end() ? nullptr : &*it;
}

std::string FormatSide(const json* value) {
  return value == nullptr ? "(none)" : FormatValue(*value);
}

void AddDetails(const std::string& path,
                const json* before,
                const json* after,
                std::vector<std::string>& out) {
  if (before != nullptr && after != nullptr && *before == *after) {
    return;
  }
  if (before == nullptr || after == nullptr || !before->is_object() ||
      !after->is_object()) {
    out.push_back(path + ": " + FormatSide(before) + " -> " +
                  FormatSide(after));
    return;
  }
  for (const auto& key : Keys(*before, *after)) {
    std::string item_path = path.empty() ? "" : path + "/";
    item_path += key;
    AddDetails(item_path, FindField(*before, key), FindField(*after, key), out);
  }
}

FileChange MakeFileChange(const std::string& section,
                          const std::string& name,
                          const json* before,
                          const json* after) {
  FileChange out{ChangeKind::kChanged, section, name, {}};
  if (before == nullptr) {
    out.kind = ChangeKind::kAdded;
  } else if (after == nullptr) {
    out.kind = ChangeKind::kRemoved;
  } else {
    AddDetails("", before, after, out.details);
  }
  return out;
}

std::string_view KindName(ChangeKind kind) {
  switch (kind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      return "changed";
  }
  return "changed";
}

}  // namespace

std::string FileChange::ToText() const {
  const std::string mark = kind == ChangeKind::kAdded     ? "+ "
                           : kind == ChangeKind::kRemoved ? "- "
                                                          : "~ ";
  return mark + section + (name.empty() ? "" : "/" + name);
}

std::vector<FileChange> DiffFiles(json before, json after) {
  RedactDigests(before);
  RedactDigests(after);
  std::vector<FileChange> out;
  for (const auto& section : Keys(before, after)) {
    const json* old_value = FindField(before, section);
    const json* new_value = FindField(after, section);
    if (old_value != nullptr && new_value != nullptr &&
        *old_value == *new_value) {
      continue;
    }
    const json none = json::object();
    const json& old_items = old_value == nullptr ? none : *old_value;
    const json& new_items = new_value == nullptr ? none : *new_value;
    if (section == "weight_store" || !old_items.is_object() ||
        !new_items.is_object()) {
      out.push_back(MakeFileChange(section, "", old_value, new_value));
      continue;
    }
    for (const auto& name : Keys(old_items, new_items)) {
      const json* old_item = FindField(old_items, name);
      const json* new_item = FindField(new_items, name);
      if (old_item == nullptr || new_item == nullptr ||
          *old_item != *new_item) {
        out.push_back(MakeFileChange(section, name, old_item, new_item));
      }
    }
  }
  return out;
}

std::string SummarizeChanges(const std::vector<FileChange>& changes) {
  std::map<std::pair<std::string, ChangeKind>, std::vector<std::string>> groups;
  for (const auto& it : changes) {
    groups[{it.section, it.kind}].push_back(it.name);
  }
  std::string out;
  for (const auto& it : groups) {
    const auto& names = it.second;
    out += (out.empty() ? "" : "; ") + it.first.first + ": " +
           std::to_string(names.size()) + " " +
           std::string(KindName(it.first.second));
    std::string list;
    for (std::size_t i = 0; i < names.size() && i < kMaxSummaryNames; ++i) {
      list += (list.empty() ? "" : ", ") + names[i];
    }
    if (!list.empty()) {
      out +=
          " (" + list + (names.size() > kMaxSummaryNames ? ", ..." : "") + ")";
    }
  }
  return out;
}

}  // namespace tanagerloom
