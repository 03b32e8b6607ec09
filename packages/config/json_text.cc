#include "config/json_text.h"

#include <algorithm>
#include <set>
#include <string>

namespace tanagerloom {

namespace {

// Deeper values serve no setting, and serialising them recurses on the small
// stack of a fiber.
constexpr std::size_t kMaxDepth = 16;
constexpr std::size_t kMaxShownBytes = 80;

std::string LineOf(std::string_view text, std::size_t byte) {
  const auto end =
      text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
  return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

/// Finds syntax errors, repeated keys and too deep nesting. It runs before the
/// values are built, since the library's own callback for that takes quadratic
/// time on large objects.
class ShapeCheck final : public nlohmann::json_sax<nlohmann::json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Open(); }
  bool end_object() override { return Close(); }
  bool start_array(std::size_t) override { return Open(); }
  bool end_array() override { return Close(); }
  bool key(string_t& key) override {
    if (!keys_.back().insert(key).second) {
      repeated_.insert(key);
    }
    return true;
  }
  bool parse_error(std::size_t byte,
                   const std::string&,
                   const nlohmann::json::exception&) override {
    error_byte_ = byte;
    return false;
  }

  bool too_deep() const { return keys_.size() > kMaxDepth; }
  std::size_t error_byte() const { return error_byte_; }
  const std::set<std::string>& repeated() const { return repeated_; }

 private:
  bool Open() {
    keys_.emplace_back();
    return !too_deep();
  }
  bool Close() {
    keys_.pop_back();
    return true;
  }

  std::size_t error_byte_ = 0;
  std::vector<std::set<std::string>> keys_;  ///< Of each open value.
  std::set<std::string> repeated_;
};

}  // namespace

nlohmann::json ParseJsonText(std::string_view text,
                             std::vector<ConfigProblem>& problems) {
  ShapeCheck check;
  const bool ok = nlohmann::json::sax_parse(
      text.begin(), text.end(), &check, nlohmann::json::input_format_t::json,
      true, true);
  if (check.too_deep()) {
    problems.push_back({"/", "values are nested more than " +
                                 std::to_string(kMaxDepth) + " deep"});
    return nullptr;
  }
  if (!ok) {
    // The library's text repeats the input, which may hold a secret.
    const auto byte = check.error_byte();
    problems.push_back(
        {LineOf(text, byte == 0 ? 0 : byte - 1),
         "JSON syntax error or number out of range; allowed is "
         "one JSON object, with // or /* */ comments, in UTF-8"});
    return nullptr;
  }
  for (const auto& it : check.repeated()) {
    problems.push_back(
        {"/", "key \"" + it + "\" is repeated within one object"});
  }
  return nlohmann::json::parse(text.begin(), text.end(), nullptr, true, true);
}

std::string Shown(const nlohmann::json& value) {
  std::string text =
      value.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
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
