#include "control/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <sstream>
#include <utility>

namespace tanagerloom {

namespace {

/// A counter that is updated from its reader when the metrics are served.
struct CounterWithReader {
  prometheus::Counter* counter;
  Metrics::Reader reader;
};

/// A gauge that is set from its reader when the metrics are served.
struct GaugeWithReader {
  prometheus::Gauge* gauge;
  Metrics::Reader reader;
};

}  // namespace

struct Metrics::Impl {
  prometheus::Registry registry{prometheus::Registry::InsertBehavior::Merge};
  std::vector<CounterWithReader> counters;
  std::vector<GaugeWithReader> gauges;

  prometheus::Counter& AddCounter(const std::string& name,
                                  const std::string& help,
                                  const MetricLabels& labels) {
    return prometheus::BuildCounter()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(labels);
  }
  prometheus::Gauge& AddGauge(const std::string& name,
                              const std::string& help,
                              const MetricLabels& labels) {
    return prometheus::BuildGauge()
        .Name(name)
        .Help(help)
        .Register(registry)
        .Add(labels);
  }
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

Metrics::Counter Metrics::AddCounter(const std::string& name,
                                     const std::string& help,
                                     const MetricLabels& labels) {
  auto& counter = impl_->AddCounter(name, help, labels);
  return [&counter](double n) { counter.Increment(n); };
}

Metrics::Gauge Metrics::AddGauge(const std::string& name,
                                 const std::string& help,
                                 const MetricLabels& labels) {
  auto& gauge = impl_->AddGauge(name, help, labels);
  return [&gauge](double value) { gauge.Set(value); };
}

Metrics::Histogram Metrics::AddHistogram(const std::string& name,
                                         const std::string& help,
                                         const std::vector<double>& bounds,
                                         const MetricLabels& labels) {
  auto& histogram = prometheus::BuildHistogram()
                        .Name(name)
                        .Help(help)
                        .Register(impl_->registry)
                        .Add(labels, bounds);
  return [&histogram](double value) { histogram.Observe(value); };
}

void Metrics::AddGaugeReader(const std::string& name,
                             const std::string& help,
                             Reader reader,
                             const MetricLabels& labels) {
  impl_->gauges.push_back(
      {&impl_->AddGauge(name, help, labels), std::move(reader)});
}

void Metrics::AddCounterReader(const std::string& name,
                               const std::string& help,
                               Reader reader,
                               const MetricLabels& labels) {
  impl_->counters.push_back(
      {&impl_->AddCounter(name, help, labels), std::move(reader)});
}

std::string Metrics::ToText() const {
  for (const auto& it : impl_->gauges) {
    it.gauge->Set(it.reader());
  }
  for (const auto& it : impl_->counters) {
    // The library's counter never falls. A lower value means that its source
    // has restarted.
    const double increase = it.reader() - it.counter->Value();
    if (increase > 0) {
      it.counter->Increment(increase);
    }
  }
  std::ostringstream out;
  prometheus::TextSerializer().Serialize(out, impl_->registry.Collect());
  return out.str();
}

}  // namespace tanagerloom
