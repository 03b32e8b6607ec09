// Defines Metrics, the registry of a node's metrics, which are served in the
// Prometheus text format. Users of this header do not include the metrics
// library.
#ifndef CONTROL_METRICS_H_
#define CONTROL_METRICS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace tanagerloom {

/// Labels of one time series.
using MetricLabels = std::map<std::string, std::string>;

/// Registry of counters, gauges and histograms. Names follow the conventions of
/// Prometheus: snake case with the unit, and "_total" at the end for counters.
/// The same name may be added several times with different labels.
class Metrics {
 public:
  /// Adds to a counter; `n` must not be negative.
  using Counter = std::function<void(double n)>;
  /// Sets a gauge.
  using Gauge = std::function<void(double value)>;
  /// Adds an observation to a histogram.
  using Histogram = std::function<void(double value)>;
  /// Returns the current value; called whenever the metrics are served.
  using Reader = std::function<double()>;

  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  Counter AddCounter(const std::string& name,
                     const std::string& help,
                     const MetricLabels& labels = {});
  Gauge AddGauge(const std::string& name,
                 const std::string& help,
                 const MetricLabels& labels = {});
  /// `bounds` are the upper bounds of the buckets in ascending order.
  Histogram AddHistogram(const std::string& name,
                         const std::string& help,
                         const std::vector<double>& bounds,
                         const MetricLabels& labels = {});

  /// Add a gauge or counter whose value another component maintains.
  void AddGaugeReader(const std::string& name,
                      const std::string& help,
                      Reader reader,
                      const MetricLabels& labels = {});
  void AddCounterReader(const std::string& name,
                        const std::string& help,
                        Reader reader,
                        const MetricLabels& labels = {});

  /// All metrics in the Prometheus text format.
  std::string ToText() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace tanagerloom

#endif  // CONTROL_METRICS_H_
