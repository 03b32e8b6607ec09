#include "load/load_report.h"

#include <fmt/format.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <nlohmann/json.hpp>

namespace tanagerloom {

namespace {

namespace acc = boost::accumulators;

double Milliseconds(std::chrono::nanoseconds value) {
  return std::chrono::duration<double, std::milli>(value).count();
}

nlohmann::json PercentilesJson(const Percentiles& value) {
  return {{"count", value.count}, {"mean_ms", value.mean},
          {"p50_ms", value.p50},  {"p95_ms", value.p95},
          {"p99_ms", value.p99},  {"max_ms", value.max}};
}

nlohmann::json TrafficJson(const TrafficReport& report) {
  return {{"answered", report.answered},
          {"refused_not_run", report.refused_not_run},
          {"refused_may_have_run", report.refused_may_have_run},
          {"failed", report.failed},
          {"within_deadline", report.within_deadline},
          {"details", report.details},
          {"first_byte", PercentilesJson(report.first_byte)},
          {"total", PercentilesJson(report.total)},
          {"cold_wait", PercentilesJson(report.cold_wait)}};
}

std::string TableRow(const std::string& name, const TrafficReport& report) {
  return fmt::format(
      "{:<20} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9.0f} {:>9.0f} {:>9.0f} "
      "{:>6} {:>9.0f}\n",
      name, report.answered, report.refused_not_run,
      report.refused_may_have_run, report.failed, report.within_deadline,
      report.first_byte.p50, report.first_byte.p95, report.first_byte.p99,
      report.cold_wait.count, report.cold_wait.p99);
}

}  // namespace

Percentiles ComputePercentiles(
    const std::vector<std::chrono::nanoseconds>& values) {
  if (values.empty()) {
    return {};
  }
  // The cache holds every value, so the quantiles are exact.
  acc::accumulator_set<
      double, acc::stats<acc::tag::mean, acc::tag::tail_quantile<acc::right>>>
      set(acc::tag::tail<acc::right>::cache_size = values.size());
  for (const auto& it : values) {
    set(Milliseconds(it));
  }
  const auto at = [&](double p) {
    return acc::quantile(set, acc::quantile_probability = p);
  };
  return {values.size(), acc::mean(set),
          at(0.5),       at(0.95),
          at(0.99),      at(1.0 - 0.5 / static_cast<double>(values.size()))};
}

TrafficReport Summarise(const std::vector<LoadSample>& samples) {
  TrafficReport report;
  std::vector<std::chrono::nanoseconds> first_byte;
  std::vector<std::chrono::nanoseconds> total;
  std::vector<std::chrono::nanoseconds> cold_waits;
  for (const auto& it : samples) {
    switch (it.outcome) {
      case LoadOutcome::kAnswered:
        ++report.answered;
        first_byte.push_back(it.first_byte);
        total.push_back(it.total);
        if (it.cold_wait.count() > 0) {
          cold_waits.push_back(it.cold_wait);
        }
        break;
      case LoadOutcome::kRefusedNotRun:
        ++report.refused_not_run;
        break;
      case LoadOutcome::kRefusedMayHaveRun:
        ++report.refused_may_have_run;
        break;
      case LoadOutcome::kFailed:
        ++report.failed;
        break;
    }
    report.within_deadline += it.within_deadline ? 1 : 0;
    if (!it.detail.empty()) {
      ++report.details[it.detail];
    }
  }
  report.first_byte = ComputePercentiles(first_byte);
  report.total = ComputePercentiles(total);
  report.cold_wait = ComputePercentiles(cold_waits);
  return report;
}

nlohmann::json LoadReport::ToJson() const {
  nlohmann::json rows = nlohmann::json::object();
  for (const auto& [name, report] : traffic) {
    rows[name] = TrafficJson(report);
  }
  return {{"workload", workload},
          {"seed", seed},
          {"planned", planned},
          {"traffic", rows},
          {"all", TrafficJson(all)}};
}

std::string LoadReport::ToTable() const {
  std::string out = fmt::format(
      "workload {} seed {} requests {}\n"
      "{:<20} {:>8} {:>8} {:>8} {:>7} {:>9} {:>9} {:>9} {:>9} {:>6} {:>9}\n",
      workload, seed, planned, "traffic", "answered", "not_run", "may_have",
      "failed", "in time", "p50 ms", "p95 ms", "p99 ms", "cold", "p99 cold");
  for (const auto& [name, report] : traffic) {
    out += TableRow(name, report);
  }
  out += TableRow("all", all);
  for (const auto& [detail, count] : all.details) {
    out += fmt::format("  {:>6} x {}\n", count, detail);
  }
  return out;
}

}  // namespace tanagerloom
