#include "config/object_reader.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

#include "config/digest.h"
#include "config/json_text.h"

namespace tanagerloom {

namespace {

constexpr std::size_t kMaxNameBytes = 100;
constexpr std::string_view kNameFormat =
    "a name of letters, digits, '.', '_' and '-', at most 100 characters";

std::string InvalidValue(const nlohmann::json& value,
                         std::string_view allowed) {
  return "value " + FormatValue(value) + "; allowed: " + std::string(allowed);
}

std::string RangeText(const std::string& min, const std::string& max) {
  return "from " + min + " to " + max;
}

bool IsIp(const std::string& text) {
  unsigned char buf[sizeof(in6_addr)];
  return inet_pton(AF_INET, text.c_str(), buf) == 1 ||
         inet_pton(AF_INET6, text.c_str(), buf) == 1;
}

std::optional<Address> ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  Address out;
  out.ip = text.substr(0, colon);
  const bool is_bracketed =
      out.ip.size() > 2 && out.ip.front() == '[' && out.ip.back() == ']';
  if (is_bracketed) {
    out.ip = out.ip.substr(1, out.ip.size() - 2);
  }
  const char* const end = text.data() + text.size();
  const auto parsed =
      std::from_chars(text.data() + colon + 1, end, out.port, 10);
  const bool is_valid_port = parsed.ec == std::errc() && parsed.ptr == end;
  const bool brackets_match_ip =
      is_bracketed == (out.ip.find(':') != std::string::npos);
  return is_valid_port && brackets_match_ip && IsIp(out.ip) ? std::optional(out)
                                                            : std::nullopt;
}

std::string EscapePointerToken(std::string_view key) {
  std::string out;
  for (const char c : key) {
    out += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
  }
  return out;
}

}  // namespace

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::isalnum(static_cast<unsigned char>(text.front())) != 0 &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return c < 128 &&
                  (std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-');
         });
}

ObjectReader::ObjectReader(const nlohmann::json& value,
                           std::string path,
                           std::vector<ConfigProblem>& problems)
    : value_(value), path_(std::move(path)), problems_(problems) {
  if (!value_.is_object()) {
    Problem("", InvalidValue(value_, "an object"));
  }
}

std::string ObjectReader::PathOf(std::string_view key) const {
  if (key.empty()) {
    return path_.empty() ? "/" : path_;
  }
  return path_ + "/" + EscapePointerToken(key);
}

void ObjectReader::Problem(std::string_view key, std::string what) {
  problems_.push_back({PathOf(key), std::move(what)});
}

const nlohmann::json* ObjectReader::Find(std::string_view key,
                                         Presence presence) {
  known_keys_.emplace(key);
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto it = value_.find(key);
  if (it != value_.end()) {
    return &*it;
  }
  if (presence == Presence::kRequired) {
    Problem(key, "is missing");
  }
  return nullptr;
}

void ObjectReader::String(std::string_view key,
                          std::string& out,
                          Presence presence,
                          Privacy privacy) {
  const auto* it = Find(key, presence);
  if (it == nullptr) {
    return;
  }
  if (!it->is_string() || it->get_ref<const std::string&>().empty()) {
    Problem(key, privacy == Privacy::kSecret
                     ? "must be a non-empty string"
                     : InvalidValue(*it, "a non-empty string"));
    return;
  }
  out = it->get<std::string>();
}

void ObjectReader::Name(std::string_view key,
                        std::string& out,
                        Presence presence) {
  const auto* it = Find(key, presence);
  if (it == nullptr) {
    return;
  }
  if (!it->is_string() || !IsName(it->get_ref<const std::string&>())) {
    Problem(key, InvalidValue(*it, kNameFormat));
    return;
  }
  out = it->get<std::string>();
}

void ObjectReader::Sha256(std::string_view key,
                          std::string& out,
                          Presence presence) {
  const auto* it = Find(key, presence);
  if (it == nullptr) {
    return;
  }
  if (!it->is_string() || !IsSha256Hex(it->get_ref<const std::string&>())) {
    // The value is not quoted: it may be the key itself, given by mistake
    // instead of its digest.
    Problem(key,
            "must be a SHA-256 digest of 64 lower-case hexadecimal digits");
    return;
  }
  out = it->get<std::string>();
}

void ObjectReader::Bool(std::string_view key, bool& out) {
  const auto* it = Find(key, Presence::kOptional);
  if (it == nullptr) {
    return;
  }
  if (!it->is_boolean()) {
    Problem(key, InvalidValue(*it, "true or false"));
    return;
  }
  out = it->get<bool>();
}

void ObjectReader::Number(std::string_view key,
                          double& out,
                          double min,
                          double max) {
  const auto* it = Find(key, Presence::kOptional);
  if (it == nullptr) {
    return;
  }
  const double n = it->is_number() ? it->get<double>() : std::nan("");
  if (!(n >= min && n <= max)) {
    Problem(key, InvalidValue(*it, RangeText(nlohmann::json(min).dump(),
                                             nlohmann::json(max).dump())));
    return;
  }
  out = n;
}

void ObjectReader::Unsigned(std::string_view key,
                            std::uint64_t& out,
                            std::uint64_t min,
                            std::uint64_t max,
                            Presence presence) {
  const auto* it = Find(key, presence);
  if (it == nullptr) {
    return;
  }
  if (!it->is_number_unsigned() || it->get<std::uint64_t>() < min ||
      it->get<std::uint64_t>() > max) {
    Problem(key, InvalidValue(
                     *it, "a whole number " + RangeText(std::to_string(min),
                                                        std::to_string(max))));
    return;
  }
  out = it->get<std::uint64_t>();
}

void ObjectReader::Unsigned(std::string_view key,
                            std::uint32_t& out,
                            std::uint32_t min,
                            std::uint32_t max,
                            Presence presence) {
  std::uint64_t n = out;
  Unsigned(key, n, std::uint64_t{min}, std::uint64_t{max}, presence);
  out = static_cast<std::uint32_t>(n);
}

void ObjectReader::Milliseconds(std::string_view key,
                                std::chrono::milliseconds& out,
                                std::uint64_t min_ms,
                                std::uint64_t max_ms) {
  auto n = static_cast<std::uint64_t>(out.count());
  Unsigned(key, n, min_ms, max_ms);
  out = std::chrono::milliseconds(n);
}

void ObjectReader::TcpAddress(std::string_view key,
                              Address& out,
                              Presence presence,
                              std::uint16_t min_port) {
  const auto* it = Find(key, presence);
  if (it == nullptr) {
    return;
  }
  const auto address = it->is_string()
                           ? ParseAddress(it->get_ref<const std::string&>())
                           : std::nullopt;
  if (!address || address->port < min_port) {
    Problem(key,
            InvalidValue(*it, "\"IP:PORT\" with a numeric IP and a port from " +
                                  std::to_string(min_port) + " to 65535"));
    return;
  }
  out = *address;
}

void ObjectReader::Strings(std::string_view key,
                           std::vector<std::string>& out,
                           Presence presence,
                           Privacy privacy) {
  const auto* it = Find(key, presence);
  if (it == nullptr) {
    return;
  }
  const bool list =
      it->is_array() && (!it->empty() || presence == Presence::kOptional);
  if (!list || !std::all_of(it->begin(), it->end(), [](const auto& item) {
        return item.is_string() &&
               !item.template get_ref<const std::string&>().empty();
      })) {
    constexpr std::string_view kFormat = "a list of non-empty strings";
    Problem(key, privacy == Privacy::kSecret ? "must be " + std::string(kFormat)
                                             : InvalidValue(*it, kFormat));
    return;
  }
  out = it->get<std::vector<std::string>>();
}

void ObjectReader::Object(std::string_view key,
                          Presence presence,
                          const std::function<void(ObjectReader&)>& read) {
  const auto* it = Find(key, presence);
  if (it != nullptr) {
    ObjectReader reader(*it, PathOf(key), problems_);
    read(reader);
    reader.Finish();
  }
}

void ObjectReader::Map(
    std::string_view key,
    const std::function<void(const std::string&, ObjectReader&)>& read) {
  const auto* it = Find(key, Presence::kOptional);
  if (it == nullptr) {
    return;
  }
  if (!it->is_object()) {
    Problem(key, InvalidValue(*it, "an object whose keys are names"));
    return;
  }
  for (const auto& item : it->items()) {
    ObjectReader reader(item.value(),
                        PathOf(key) + "/" + EscapePointerToken(item.key()),
                        problems_);
    if (!IsName(item.key())) {
      reader.Problem("", "invalid name; allowed: " + std::string(kNameFormat));
    }
    read(item.key(), reader);
    reader.Finish();
  }
}

void ObjectReader::List(std::string_view key,
                        const std::function<void(ObjectReader&)>& read) {
  const auto* it = Find(key, Presence::kOptional);
  if (it == nullptr) {
    return;
  }
  if (!it->is_array()) {
    Problem(key, InvalidValue(*it, "a list of objects"));
    return;
  }
  std::size_t n = 0;
  for (const auto& item : *it) {
    ObjectReader reader(item, PathOf(key) + "/" + std::to_string(n++),
                        problems_);
    read(reader);
    reader.Finish();
  }
}

void ObjectReader::Finish() {
  if (!value_.is_object()) {
    return;
  }
  for (const auto& it : value_.items()) {
    if (!known_keys_.contains(it.key())) {
      std::string allowed;
      for (const auto& key : known_keys_) {
        allowed += (allowed.empty() ? "" : ", ") + key;
      }
      Problem(it.key(), "unknown key; allowed: " + allowed);
    }
  }
}

}  // namespace tanagerloom
