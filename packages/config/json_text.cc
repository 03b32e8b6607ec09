#include "config/json_text.h"

#include <algorithm>
#include <set>
#include <string>

namespace tanagerloom {

namespace {

// Deeper values serve no setting, and serialising them recurses on the small
// stack of a fiber.
constexpr int kMaxDepth = 16;
constexpr std::size_t kMaxShownBytes = 80;

std::string LineOf(std::string_view text, std::size_t byte) {
  const auto end =
      text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
  return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

/// Finds repeated keys and too deep nesting while the parser runs.
class ShapeCheck {
 public:
  using Event = nlohmann::json::parse_event_t;

  bool operator()(int depth, Event event, const nlohmann::json& parsed) {
    too_deep_ = too_deep_ || depth > kMaxDepth;
    if (event == Event::object_start) {
      keys_.emplace_back();
    } else if (event == Event::object_end && !keys_.empty()) {
      keys_.pop_back();
    } else if (event == Event::key && !keys_.empty() && parsed.is_string()) {
      const auto& key = parsed.get_ref<const std::string&>();
      if (!keys_.back().insert(key).second) {
        repeated_.insert(key);
      }
    }
    return true;
  }

  bool too_deep() const { return too_deep_; }
  const std::set<std::string>& repeated() const { return repeated_; }

 private:
  bool too_deep_ = false;
  std::vector<std::set<std::string>> keys_;
  std::set<std::string> repeated_;
};

}  // namespace

nlohmann::json ParseJsonText(std::string_view text,
                             std::vector<ConfigProblem>& problems) {
  ShapeCheck check;
  nlohmann::json value;
  try {
    value = nlohmann::json::parse(
        text.begin(), text.end(),
        [&check](int depth, ShapeCheck::Event event, nlohmann::json& parsed) {
          return check(depth, event, parsed);
        },
        true, true);
  } catch (const nlohmann::json::parse_error& e) {
    // The library's text repeats the input, which may hold a secret.
    problems.push_back(
        {LineOf(text, e.byte == 0 ? 0 : e.byte - 1),
         "JSON syntax error; allowed is one JSON object, with // or /* */ "
         "comments, in UTF-8"});
    return nullptr;
  } catch (const nlohmann::json::exception&) {
    problems.push_back({"line 1", "a number is out of range"});
    return nullptr;
  }
  if (check.too_deep()) {
    problems.push_back({"/", "values are nested more than " +
                                 std::to_string(kMaxDepth) + " deep"});
    return nullptr;
  }
  for (const auto& it : check.repeated()) {
    problems.push_back(
        {"/", "key \"" + it + "\" is repeated within one object"});
  }
  return value;
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
