#include "config/json_text.h"

#include <algorithm>
#include <set>
#include <string>

namespace tanagerloom {

namespace {

// No setting needs deeper values, and serializing them recurses on the small
// stack of a fiber.
constexpr std::size_t kMaxNestingDepth = 16;
constexpr std::size_t kMaxFormattedBytes = 80;

std::string LineAt(std::string_view text, std::size_t byte) {
  const auto end =
      text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
  return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

/// Finds syntax errors, duplicate keys and too deep nesting in a pass of its
/// own before the values are built: the library's parser callback, which could
/// check them meanwhile, takes quadratic time on large objects.
class StructureChecker final : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return OpenValue(); }
  bool end_object() override { return CloseValue(); }
  bool start_array(std::size_t) override { return OpenValue(); }
  bool end_array() override { return CloseValue(); }
  bool key(string_t& key) override {
    if (!keys_.back().insert(key).second) {
      duplicate_keys_.insert(key);
    }
    return true;
  }
  bool parse_error(std::size_t byte,
                   const std::string&,
                   const nlohmann::json::exception&) override {
    error_offset_ = byte;
    return false;
  }

  bool is_too_deep() const { return keys_.size() > kMaxNestingDepth; }
  std::size_t error_offset() const { return error_offset_; }
  const std::set<std::string>& duplicate_keys() const {
    return duplicate_keys_;
  }

 private:
  bool OpenValue() {
    keys_.emplace_back();
    return !is_too_deep();
  }
  bool CloseValue() {
    keys_.pop_back();
    return true;
  }

  std::size_t error_offset_ = 0;
  std::vector<std::set<std::string>> keys_;  ///< Keys seen in each open value.
  std::set<std::string> duplicate_keys_;
};

}  // namespace

nlohmann::json ParseJsonText(std::string_view text,
                             std::vector<ConfigProblem>& problems) {
  StructureChecker check;
  const bool ok = nlohmann::json::sax_parse(
      text.begin(), text.end(), &check, nlohmann::json::input_format_t::json,
      true, true);
  if (check.is_too_deep()) {
    problems.push_back({"/", "values are nested more than " +
                                 std::to_string(kMaxNestingDepth) +
                                 " levels deep"});
    return nullptr;
  }
  if (!ok) {
    // The library's error message quotes the input, which may contain a secret.
    const auto byte = check.error_offset();
    problems.push_back(
        {LineAt(text, byte == 0 ? 0 : byte - 1),
         "JSON syntax error or number out of range; allowed: one "
         "JSON object in UTF-8, with // or /* */ comments"});
    return nullptr;
  }
  for (const auto& it : check.duplicate_keys()) {
    problems.push_back(
        {"/", "key \"" + it + "\" is repeated within one object"});
  }
  return nlohmann::json::parse(text.begin(), text.end(), nullptr, true, true);
}

std::string FormatValue(const nlohmann::json& value) {
  std::string text =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxFormattedBytes) {
    text.resize(kMaxFormattedBytes);
    text += "...";
  }
  return text;
}

std::string ToText(const std::vector<ConfigProblem>& problems) {
  std::string out;
  for (const auto& it : problems) {
    out += it.where + ": " + it.what + "\n";
  }
  return out;
}

}  // namespace tanagerloom
