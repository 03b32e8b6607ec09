#include "ctl/ctl_context.h"

#include <charconv>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iterator>

namespace tanagerloom {

std::string CtlContext::Option(const std::string& name) const {
  const auto all = Options(name);
  return all.empty() ? "" : all.front();
}

std::vector<std::string> CtlContext::Options(const std::string& name) const {
  const auto it = args.find(name);
  if (it == args.end() ||
      !(it->second.isString() || it->second.isStringList())) {
    return {};
  }
  // For a name that may be repeated in some command, docopt returns a list in
  // every command.
  return it->second.isString() ? std::vector{it->second.asString()}
                               : it->second.asStringList();
}

bool CtlContext::HasFlag(const std::string& name) const {
  const auto it = args.find(name);
  return it != args.end() && it->second.isBool() && it->second.asBool();
}

CtlResult<NodeClient> CtlContext::FirstNode() const {
  const auto nodes = Options("--node");
  BOOST_OUTCOME_TRY(address,
                    ParseNodeAddress(nodes.empty() ? "" : nodes.front()));
  auto token = Option("--token");
  const char* const environment = std::getenv("TANAGERLOOM_TOKEN");
  if (token.empty() && environment != nullptr) {
    token = environment;
  }
  return NodeClient(http, address, std::move(token));
}

ExitStatus CtlContext::ReportFailure(const CtlFailure& failure) const {
  if (HasFlag("--json")) {
    Print({{"error", failure.message},
           {"status", static_cast<int>(failure.status)}});
  } else {
    err << "tanagerctl: " << failure.message << "\n";
  }
  return failure.status;
}

void CtlContext::Print(const nlohmann::json& value) const {
  out << value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
      << "\n";
}

CtlResult<Address> ParseNodeAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  Address out;
  if (colon != std::string::npos && colon > 0) {
    out.ip = text.substr(0, colon);
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, out.port);
    if (parsed.ec == std::errc() && parsed.ptr == end && out.port != 0) {
      return out;
    }
  }
  return CtlFailure{ExitStatus::kUsage,
                    "--node \"" + text + "\"; allowed: IP:PORT"};
}

CtlResult<std::string> ReadTextFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) {
    return CtlFailure{ExitStatus::kUsage, "cannot read \"" + path + "\""};
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

std::string FormatUtc(std::uint64_t at_ms) {
  const auto seconds = static_cast<std::time_t>(at_ms / 1000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char buf[64];
  const std::size_t n =
      std::strftime(buf, sizeof(buf), "%Y-%m-%dT%H:%M:%S", &parts);
  const auto millis = std::to_string(1000 + at_ms % 1000).substr(1);
  return std::string(buf, n) + "." + millis + "Z";
}

}  // namespace tanagerloom
