#include "testing/support/flags.h"

#include <cstdlib>
#include <sstream>

namespace tanagerloom::testing_support {

Flags::Flags(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    std::string name = argv[i];
    name.erase(0, name.find_first_not_of('-'));
    const auto equals = name.find('=');
    if (equals != std::string::npos) {
      values_[name.substr(0, equals)] = name.substr(equals + 1);
    } else if (i + 1 < argc) {
      values_[name] = argv[++i];
    }
  }
}

std::string Flags::Text(const std::string& name, std::string fallback) const {
  const auto it = values_.find(name);
  return it == values_.end() ? fallback : it->second;
}

double Flags::Number(const std::string& name, double fallback) const {
  const auto it = values_.find(name);
  return it == values_.end() ? fallback
                             : std::strtod(it->second.c_str(), nullptr);
}

bool Flags::Bool(const std::string& name, bool fallback) const {
  return Text(name, fallback ? "true" : "false") == "true";
}

std::chrono::milliseconds Flags::Milliseconds(const std::string& name,
                                              int fallback) const {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(Number(name, fallback)));
}

std::vector<std::string> Flags::List(const std::string& name) const {
  std::vector<std::string> items;
  std::istringstream in(Text(name));
  for (std::string item; std::getline(in, item, ',');) {
    items.push_back(item);
  }
  return items;
}

Address ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  return {text.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(
                                     text.c_str() + colon + 1, nullptr, 10))};
}

}  // namespace tanagerloom::testing_support
