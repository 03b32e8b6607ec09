// The command that collects and merges the events of all processes.
#include <set>

#include "ctl/ctl_context.h"
#include "ctl/timeline.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

/// Adds all events in the event ring of a node to the timeline.
CtlResult<void> CollectEvents(NodeClient& node, Timeline& timeline) {
  std::uint64_t after = 0;
  while (true) {
    BOOST_OUTCOME_TRY(
        page, node.Get("/operator/timeline?after=" + std::to_string(after)));
    const auto events = page.value("events", json::array());
    const auto next = page.value("next", after);
    timeline.Add(events);
    if (events.empty() || next <= after) {
      return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    after = next;
  }
}

/// Returns the admin addresses of all nodes: those given and the reachable
/// members that they list.
CtlResult<std::set<Address>> FindAdminAddresses(const CtlContext& ctl) {
  std::set<Address> out;
  for (const auto& it : ctl.Options("--node")) {
    BOOST_OUTCOME_TRY(address, ParseNodeAddress(it));
    out.insert(address);
    NodeClient node(ctl.http, address, "");
    const auto status = node.Get("/operator/status");
    if (!status) {
      ctl.ReportFailure(status.error());
      continue;
    }
    for (const auto& member : status.value().value("members", json::array())) {
      const auto found = ParseNodeAddress(member.value("admin", ""));
      if (found && member.value("reachable", false)) {
        out.insert(found.value());
      }
    }
  }
  return out;
}

/// Merges the events of all nodes. Nodes that can't be read are reported; fails
/// if none can be read or an address is invalid.
CtlResult<Timeline> CollectTimeline(const CtlContext& ctl) {
  BOOST_OUTCOME_TRY(nodes, FindAdminAddresses(ctl));
  Timeline out;
  bool collected_any = false;
  for (const auto& it : nodes) {
    NodeClient node(ctl.http, it, "");
    const auto collected = CollectEvents(node, out);
    collected_any = collected_any || collected;
    if (!collected) {
      ctl.err << "tanagerctl: events of " << it.ToString()
              << " are missing: " << collected.error().message << "\n";
    }
  }
  if (!collected_any) {
    return CtlFailure{ExitStatus::kUnreachable, "no node can be reached"};
  }
  return out;
}

}  // namespace

ExitStatus RunTimeline(const CtlContext& ctl) {
  const auto format = ctl.HasFlag("--json") ? "json" : ctl.Option("--format");
  if (format != "text" && format != "json" && format != "trace") {
    return ctl.ReportFailure(
        {ExitStatus::kUsage,
         "--format \"" + format + "\"; allowed: text, json, trace"});
  }
  const auto timeline = CollectTimeline(ctl);
  if (!timeline) {
    return ctl.ReportFailure(timeline.error());
  }
  const auto events =
      timeline.value().Events({ctl.Option("--request"), ctl.Option("--model"),
                               ctl.Option("--server"), ctl.Option("--at")});
  if (format == "text") {
    WriteTimelineText(events, ctl.out);
  } else {
    ctl.Print(format == "json" ? json{{"events", events}}
                               : TimelineTrace(events));
  }
  return ExitStatus::kDone;
}

}  // namespace tanagerloom
