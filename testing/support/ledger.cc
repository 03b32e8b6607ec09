#include "testing/support/ledger.h"

#include <fstream>

#include "testing/support/standin.h"

namespace tanagerloom::testing_support {

Ledger::Ledger(const std::string& path) {
  if (path.empty()) {
    return;
  }
  std::ifstream in(path);
  for (std::string line; std::getline(in, line);) {
    auto event = nlohmann::json::parse(line, nullptr, false);
    if (event.is_object()) {
      events_.push_back(std::move(event));
    }
  }
  file_ = std::fopen(path.c_str(), "a");
}

Ledger::~Ledger() {
  if (file_ != nullptr) {
    std::fclose(file_);
  }
}

void Ledger::Add(const char* kind, nlohmann::json event) {
  event["kind"] = kind;
  event["at_ms"] = NowMs();
  if (file_ != nullptr) {
    std::fprintf(file_, "%s\n", event.dump().c_str());
    std::fflush(file_);
  }
  events_.push_back(std::move(event));
}

}  // namespace tanagerloom::testing_support
