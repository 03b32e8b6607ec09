#include "control/config_delta.h"

#include <algorithm>
#include <utility>

#include "config/digest.h"

namespace tanagerloom {

using nlohmann::json;

namespace {

/// Whether a byte is a UTF-8 continuation byte. A patch must not split a
/// character, because JSON cannot represent a part of one.
bool IsUtf8Continuation(char byte) {
  constexpr unsigned char kLeadingBitsMask = 0xC0;
  constexpr unsigned char kContinuationBits = 0x80;
  return (static_cast<unsigned char>(byte) & kLeadingBitsMask) ==
         kContinuationBits;
}

}  // namespace

TextPatch MakePatch(std::string_view before, std::string_view after) {
  const auto limit = std::min(before.size(), after.size());
  TextPatch out;
  const auto start = std::mismatch(
      before.begin(), before.begin() + static_cast<std::ptrdiff_t>(limit),
      after.begin());
  out.prefix_bytes = static_cast<std::size_t>(start.first - before.begin());
  while (out.prefix_bytes > 0 && out.prefix_bytes < after.size() &&
         IsUtf8Continuation(after[out.prefix_bytes])) {
    --out.prefix_bytes;
  }
  const auto rest = static_cast<std::ptrdiff_t>(limit - out.prefix_bytes);
  const auto end =
      std::mismatch(before.rbegin(), before.rbegin() + rest, after.rbegin());
  out.suffix_bytes = static_cast<std::size_t>(end.first - before.rbegin());
  while (out.suffix_bytes > 0 &&
         IsUtf8Continuation(after[after.size() - out.suffix_bytes])) {
    --out.suffix_bytes;
  }
  out.middle = after.substr(out.prefix_bytes,
                            after.size() - out.prefix_bytes - out.suffix_bytes);
  return out;
}

std::optional<std::string> ApplyPatch(std::string_view before,
                                      const TextPatch& patch) {
  if (patch.prefix_bytes > before.size() ||
      patch.suffix_bytes > before.size() - patch.prefix_bytes) {
    return std::nullopt;
  }
  std::string out(before.substr(0, patch.prefix_bytes));
  out += patch.middle;
  out += before.substr(before.size() - patch.suffix_bytes);
  return out;
}

json ConfigDelta::ToJson() const {
  return {{"base", base},
          {"root_sha256", root_sha256},
          {"change", change.ToJson()},
          {"file", file ? file->ToJson() : json(nullptr)},
          {"history_page", history_page},
          {"prefix_bytes", text.prefix_bytes},
          {"suffix_bytes", text.suffix_bytes},
          {"middle", text.middle}};
}

Result<ConfigDelta> ParseConfigDelta(const json& value) {
  try {
    ConfigDelta out;
    out.base = value.at("base").get<std::uint64_t>();
    out.root_sha256 = value.at("root_sha256").get<std::string>();
    out.change = HistoryEntryFromJson(value.at("change"));
    if (!value.at("file").is_null()) {
      out.file = ConfigFileEntryFromJson(value.at("file"));
    }
    out.history_page = value.at("history_page").get<std::string>();
    out.text = {value.at("prefix_bytes").get<std::size_t>(),
                value.at("suffix_bytes").get<std::size_t>(),
                value.at("middle").get<std::string>()};
    return out;
  } catch (const json::exception& e) {
    return MakeError(ErrorKind::kInvalid, e.what());
  }
}

std::optional<ConfigDelta> MakeDelta(const ConfigRoot& from,
                                     const ConfigRoot& to,
                                     std::string_view text_before,
                                     std::string_view text_after) {
  if (to.history.empty() || to.history.back().version != to.version) {
    return std::nullopt;
  }
  ConfigDelta out;
  out.base = from.version;
  out.root_sha256 = Sha256Hex(to.ToText());
  out.change = to.history.back();
  const auto file = to.files.find(out.change.file);
  if (file != to.files.end()) {
    out.file = file->second;
  }
  out.history_page = to.history_page;
  out.text = MakePatch(text_before, text_after);
  return ApplyDelta(from, out) ? std::optional(std::move(out)) : std::nullopt;
}

std::optional<ConfigRoot> ApplyDelta(const ConfigRoot& from,
                                     const ConfigDelta& delta) {
  if (from.version != delta.base) {
    return std::nullopt;
  }
  ConfigRoot out = from;
  out.version = delta.change.version;
  if (delta.file) {
    out.files.insert_or_assign(delta.change.file, *delta.file);
  } else {
    out.files.erase(delta.change.file);
  }
  if (out.history_page != delta.history_page) {
    out.history.clear();
    out.history_page = delta.history_page;
  }
  out.history.push_back(delta.change);
  return Sha256Hex(out.ToText()) == delta.root_sha256
             ? std::optional(std::move(out))
             : std::nullopt;
}

}  // namespace tanagerloom
