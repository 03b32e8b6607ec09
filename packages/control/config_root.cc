#include "control/config_root.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<HistoryEntry> ParseEntries(const json& value) {
  std::vector<HistoryEntry> out;
  for (const auto& it : value) {
    out.push_back(HistoryEntryFromJson(it));
  }
  return out;
}

json EntriesJson(const std::vector<HistoryEntry>& entries) {
  json out = json::array();
  for (const auto& it : entries) {
    out.push_back(it.ToJson());
  }
  return out;
}

Error ParseFailure(std::string_view what, const json::exception& e) {
  return MakeError(ErrorKind::kInternal,
                   std::string(what) + " cannot be parsed: " + e.what());
}

}  // namespace

HistoryEntry HistoryEntryFromJson(const json& value) {
  HistoryEntry out;
  out.id = value.at("id").get<std::string>();
  out.version = value.at("version").get<std::uint64_t>();
  out.file = value.at("file").get<std::string>();
  out.by = value.at("by").get<std::string>();
  out.author = value.value("author", "");
  out.at_ms = value.at("at_ms").get<std::uint64_t>();
  out.change = value.at("change").get<std::string>();
  out.content = value.at("content").get<std::vector<std::string>>();
  out.previous = value.at("previous").get<std::vector<std::string>>();
  return out;
}

ConfigFileEntry ConfigFileEntryFromJson(const json& value) {
  ConfigFileEntry out;
  out.version = value.at("version").get<std::uint64_t>();
  out.content = value.at("content").get<std::vector<std::string>>();
  out.by = value.at("by").get<std::string>();
  out.author = value.value("author", "");
  out.at_ms = value.at("at_ms").get<std::uint64_t>();
  return out;
}

json HistoryEntry::ToJson() const {
  return {{"id", id},         {"version", version}, {"file", file},
          {"by", by},         {"author", author},   {"at_ms", at_ms},
          {"change", change}, {"content", content}, {"previous", previous}};
}

json ConfigFileEntry::ToJson() const {
  return {{"version", version},
          {"content", content},
          {"by", by},
          {"author", author},
          {"at_ms", at_ms}};
}

std::string ConfigRoot::ToText() const {
  json list = json::object();
  for (const auto& it : files) {
    list[it.first] = it.second.ToJson();
  }
  return Dump({{"version", version},
               {"files", list},
               {"history", EntriesJson(history)},
               {"history_page", history_page}});
}

Result<ConfigRoot> ParseConfigRoot(std::string_view text) {
  try {
    const json value = json::parse(text);
    ConfigRoot out;
    out.version = value.at("version").get<std::uint64_t>();
    for (const auto& it : value.at("files").items()) {
      out.files.emplace(it.key(), ConfigFileEntryFromJson(it.value()));
    }
    out.history = ParseEntries(value.at("history"));
    out.history_page = value.at("history_page").get<std::string>();
    return out;
  } catch (const json::exception& e) {
    return ParseFailure("the configuration root", e);
  }
}

std::string HistoryPage::ToText() const {
  return Dump({{"entries", EntriesJson(entries)}, {"previous", previous}});
}

Result<HistoryPage> ParseHistoryPage(std::string_view text) {
  try {
    const json value = json::parse(text);
    return HistoryPage{ParseEntries(value.at("entries")),
                       value.at("previous").get<std::string>()};
  } catch (const json::exception& e) {
    return ParseFailure("a history page", e);
  }
}

}  // namespace tanagerloom
