// The command that explains from log files how a request ended.
#include <fstream>
#include <iostream>

#include "ctl/ctl_context.h"
#include "ctl/explanation.h"

namespace tanagerloom {

namespace {

/// Appends the events of a log to `out`.
void ReadEvents(std::istream& in, std::vector<nlohmann::json>& out) {
  for (std::string line; std::getline(in, line);) {
    auto event = ParseLogLine(line);
    if (!event.is_null()) {
      out.push_back(std::move(event));
    }
  }
}

/// Reads the events of all log files, or of standard input if none is given.
CtlResult<std::vector<nlohmann::json>> ReadLogs(
    const std::vector<std::string>& paths) {
  std::vector<nlohmann::json> out;
  if (paths.empty()) {
    ReadEvents(std::cin, out);
  }
  for (const auto& it : paths) {
    std::ifstream file(it);
    if (!file) {
      return CtlFailure{ExitStatus::kUsage, "cannot read " + it};
    }
    ReadEvents(file, out);
  }
  return out;
}

}  // namespace

ExitStatus RunExplain(const CtlContext& ctl) {
  const auto events = ReadLogs(ctl.Options("LOG"));
  if (!events) {
    return ctl.ReportFailure(events.error());
  }
  const auto request = ctl.Option("ID");
  const auto explained = Explain(request, events.value());
  if (explained.empty()) {
    return ctl.ReportFailure({ExitStatus::kRefused,
                              "the logs have no events of request " + request});
  }
  for (const auto& it : explained) {
    ctl.out << (it.belongs_to_request ? "* " : "  ") << it.offset_ms << " ms "
            << it.event.value("process", "") << " "
            << it.event.value("event", "") << " "
            << it.event.value("fields", nlohmann::json::object()).dump()
            << "\n";
  }
  return ExitStatus::kDone;
}

}  // namespace tanagerloom
