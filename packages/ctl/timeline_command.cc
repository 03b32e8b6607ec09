// The command that collects and merges the events of all processes.
#include <set>

#include "ctl/ctl_context.h"
#include "ctl/timeline.h"

namespace tanagerloom {

namespace {

using nlohmann::json;

/// Reads the whole event ring of a process.
CtlResult<void> Collect(NodeClient& node, Timeline& timeline) {
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

/// The admin addresses of all nodes: those given and the members they know.
CtlResult<std::set<Address>> FindNodes(const CtlContext& ctl) {
  std::set<Address> out;
  for (const auto& it : ctl.Options("--node")) {
    BOOST_OUTCOME_TRY(address, ParseNodeAddress(it));
    out.insert(address);
    NodeClient node(ctl.http, address, "");
    const auto status = node.Get("/operator/status");
    if (!status) {
      ctl.Fail(status.error());
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

CtlResult<Timeline> CollectAll(const CtlContext& ctl) {
  BOOST_OUTCOME_TRY(nodes, FindNodes(ctl));
  Timeline out;
  bool any = false;
  for (const auto& it : nodes) {
    NodeClient node(ctl.http, it, "");
    const auto collected = Collect(node, out);
    any = any || collected;
    if (!collected) {
      ctl.err << "tanagerctl: events of " << it.ToString()
              << " are missing: " << collected.error().message << "\n";
    }
  }
  if (!any) {
    return CtlFailure{ExitStatus::kUnreachable, "no node can be reached"};
  }
  return out;
}

}  // namespace

ExitStatus RunTimeline(const CtlContext& ctl) {
  const auto format = ctl.Flag("--json") ? "json" : ctl.Option("--format");
  if (format != "text" && format != "json" && format != "trace") {
    return ctl.Fail({ExitStatus::kUsage, "--format \"" + format +
                                             "\"; allowed: text, json, trace"});
  }
  const auto timeline = CollectAll(ctl);
  if (!timeline) {
    return ctl.Fail(timeline.error());
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
