// The commands that show the state of nodes and the configuration history, and
// the one that drains a node.
#include "ctl/ctl_context.h"
#include "http/http_message.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

CtlResult<json> GetFromNode(const CtlContext& ctl, const std::string& target) {
  BOOST_OUTCOME_TRY(node, ctl.FirstNode());
  return node.Get(target);
}

std::string HistoryTarget(const CtlContext& ctl) {
  std::string out =
      "/operator/history?limit=" + PercentEncode(ctl.Option("--limit"));
  if (!ctl.Option("--before").empty()) {
    out += "&before=" + PercentEncode(ctl.Option("--before"));
  }
  return out;
}

void PrintHistory(std::ostream& out, const json& entries) {
  for (const auto& it : entries) {
    const auto author = it.value("author", "");
    out << it.value("version", 0) << "  " << FormatUtc(it.value("at_ms", 0ULL))
        << "  " << it.value("file", "") << "  by " << it.value("by", "")
        << (author.empty() ? "" : " (" + author + ")") << ": "
        << it.value("change", "") << "\n";
  }
}

void PrintStatus(std::ostream& out, const json& value) {
  out << "node " << value.value("node", "") << ": "
      << (value.value("ready", false)
              ? "ready"
              : "not ready: " + value.value("not_ready_reason", ""))
      << ", configuration version " << value.value("config_version", 0) << "\n";
  for (const auto& it : value.value("members", json::array())) {
    out << "  " << it.value("node", "") << " (" << it.value("data_centre", "")
        << ", admin " << it.value("admin", "") << "): "
        << (it.value("reachable", false) ? "reachable" : "not reachable")
        << (it.value("leaving", false) ? ", leaving" : "")
        << ", configuration version " << it.value("config_version", 0) << "\n";
  }
}

/// Runs a GET and writes the response as JSON with --json and else with
/// `print`.
template <typename Print>
ExitStatus RunGet(const CtlContext& ctl,
                  const std::string& target,
                  Print print) {
  const auto answer = GetFromNode(ctl, target);
  if (!answer) {
    return ctl.ReportFailure(answer.error());
  }
  if (ctl.HasFlag("--json")) {
    ctl.Print(answer.value());
  } else {
    print(answer.value());
  }
  return ExitStatus::kDone;
}

CtlResult<json> PostDrain(const CtlContext& ctl) {
  BOOST_OUTCOME_TRY(node, ctl.FirstNode());
  return node.Send("POST", "/operator/drain", "");
}

}  // namespace

ExitStatus RunHistory(const CtlContext& ctl) {
  return RunGet(ctl, HistoryTarget(ctl), [&](const json& value) {
    PrintHistory(ctl.out, value.value("history", json::array()));
  });
}

ExitStatus RunStatus(const CtlContext& ctl) {
  return RunGet(ctl, "/operator/status",
                [&](const json& value) { PrintStatus(ctl.out, value); });
}

ExitStatus RunDrain(const CtlContext& ctl) {
  const auto answer = PostDrain(ctl);
  if (!answer) {
    return ctl.ReportFailure(answer.error());
  }
  if (ctl.HasFlag("--json")) {
    ctl.Print(answer.value());
  } else {
    ctl.out << "node " << answer.value().value("node", "") << " drains\n";
  }
  return ExitStatus::kDone;
}

}  // namespace tanagerloom
