#include "routing/claim_range.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/id.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

constexpr std::string_view kStateNames[] = {"claimed", "done", "unknown"};

ClaimState ParseState(std::string_view name) {
  for (std::size_t i = 0; i < std::size(kStateNames); ++i) {
    if (kStateNames[i] == name) {
      return static_cast<ClaimState>(i);
    }
  }
  // A state that a later version of this program wrote. Treating the outcome as
  // unknown is safe, since the call is not run.
  return ClaimState::kUnknown;
}

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string out;
  out.reserve(bytes.size() * 2);
  for (const char c : bytes) {
    out += kDigits[static_cast<unsigned char>(c) >> 4];
    out += kDigits[static_cast<unsigned char>(c) & 15];
  }
  return out;
}

std::string FromHex(std::string_view hex) {
  const auto digit = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    out += static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1]));
  }
  return out;
}

// Whether the bytes are valid UTF-8, so that they can be stored as a JSON
// string. Other bytes are stored as hexadecimal digits.
bool IsUtf8(const std::string& bytes) {
  try {
    (void)json(bytes).dump();
    return true;
  } catch (const json::type_error&) {
    return false;
  }
}

json ToJson(const ClaimRecord& record) {
  json out = {{"fingerprint", record.fingerprint},
              {"request", record.request},
              {"node", record.node},
              {"state", kStateNames[static_cast<std::size_t>(record.state)]},
              {"expires_ms", record.expires_ms}};
  if (record.state == ClaimState::kDone) {
    out["status"] = record.status;
    out["content_type"] = record.content_type;
    if (IsUtf8(record.body)) {
      out["body"] = record.body;
    } else {
      out["body_hex"] = ToHex(record.body);
    }
  }
  if (!record.message.empty()) {
    out["message"] = record.message;
  }
  return out;
}

ClaimRecord FromJson(const json& in) {
  ClaimRecord record;
  record.fingerprint = in.value("fingerprint", "");
  record.request = in.value("request", "");
  record.node = in.value("node", "");
  record.state = ParseState(in.value("state", ""));
  record.expires_ms = in.value("expires_ms", std::int64_t{0});
  record.status = in.value("status", 0);
  record.content_type = in.value("content_type", "");
  record.body = in.contains("body_hex") ? FromHex(in.value("body_hex", ""))
                                        : in.value("body", "");
  record.message = in.value("message", "");
  return record;
}

}  // namespace

std::optional<ClaimRange> ClaimRange::Parse(std::string_view text) {
  const auto doc = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!doc.is_object()) {
    return std::nullopt;
  }
  ClaimRange range;
  try {
    range.split = doc.value("split", false);
    const json records = doc.value("claims", json::object());
    for (const auto& [claim, record] : records.items()) {
      range.claims[claim] = FromJson(record);
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return range;
}

std::string ClaimRange::Serialize() const {
  json records = json::object();
  for (const auto& [claim, record] : claims) {
    records[claim] = ToJson(record);
  }
  json doc = {{"claims", std::move(records)}};
  if (split) {
    doc["split"] = true;
  }
  return doc.dump(-1, ' ', false, json::error_handler_t::replace);
}

bool ClaimRange::Apply(const ClaimChange& change) {
  const auto it = claims.find(change.claim);
  switch (change.kind) {
    case ClaimChange::Kind::kTake:
      return claims.emplace(change.claim, change.record).second;
    case ClaimChange::Kind::kSetOutcome:
      // A node that was considered failed may still store the outcome, so
      // kUnknown is replaced by kDone.
      if (it == claims.end() || it->second.request != change.record.request ||
          it->second.state == ClaimState::kDone ||
          it->second.state == change.record.state) {
        return false;
      }
      it->second = change.record;
      return true;
    case ClaimChange::Kind::kRelease:
      if (it == claims.end() || it->second.request != change.record.request ||
          it->second.state != ClaimState::kClaimed) {
        return false;
      }
      claims.erase(it);
      return true;
  }
  return false;
}

bool ClaimRange::Prune(std::int64_t now_ms) {
  return std::erase_if(claims, [&](const auto& it) {
           return it.second.expires_ms < now_ms;
         }) > 0;
}

std::string ClaimHashDigits(std::string_view claim) {
  char buf[17];
  std::snprintf(buf, sizeof(buf), "%016llx",
                static_cast<unsigned long long>(StableHash(claim)));
  return buf;
}

}  // namespace tanagerloom
