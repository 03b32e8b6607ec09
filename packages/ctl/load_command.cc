// The command that sends a workload to nodes and reports the results.
#include <charconv>
#include <nlohmann/json.hpp>

#include "ctl/ctl_context.h"
#include "load/load_generator.h"
#include "load/workload.h"
#include "runtime/steady_clock.h"

namespace tanagerloom {

namespace {

CtlResult<WorkloadSpec> ReadWorkload(const CtlContext& ctl) {
  const auto path = ctl.Option("WORKLOAD");
  BOOST_OUTCOME_TRY(text, ReadTextFile(path));
  auto spec = ParseWorkload(text);
  if (!spec) {
    return CtlFailure{ExitStatus::kUsage,
                      path + ": " + spec.assume_error().message};
  }
  const auto seed = ctl.Option("--seed");
  auto& number = spec.assume_value().seed;
  if (!seed.empty() &&
      std::from_chars(seed.data(), seed.data() + seed.size(), number).ptr !=
          seed.data() + seed.size()) {
    return CtlFailure{ExitStatus::kUsage,
                      "--seed \"" + seed + "\"; allowed: a whole number"};
  }
  return std::move(spec).assume_value();
}

CtlResult<std::vector<Address>> ReadNodes(const CtlContext& ctl) {
  std::vector<Address> nodes;
  for (const auto& it : ctl.Options("--node")) {
    BOOST_OUTCOME_TRY(address, ParseNodeAddress(it));
    nodes.push_back(address);
  }
  return nodes;
}

}  // namespace

ExitStatus RunLoad(const CtlContext& ctl) {
  const auto spec = ReadWorkload(ctl);
  if (!spec) {
    return ctl.ReportFailure(spec.assume_error());
  }
  auto nodes = ReadNodes(ctl);
  if (!nodes) {
    return ctl.ReportFailure(nodes.assume_error());
  }
  SteadyClock clock;
  LoadGenerator generator(ctl.http, clock, std::move(nodes).assume_value());
  const auto report =
      generator.Run(spec.assume_value(), [&](const LoadProgress& progress) {
        ctl.err << "sent " << progress.sent << " of " << progress.planned
                << ", finished " << progress.finished << "\n";
      });
  if (ctl.HasFlag("--json")) {
    ctl.Print(report.ToJson());
  } else {
    ctl.out << report.ToTable();
  }
  // A failed request, unlike a refused one, is a broken guarantee and not a
  // sign of load.
  return report.all.failed == 0 ? ExitStatus::kDone : ExitStatus::kRefused;
}

}  // namespace tanagerloom
