#include "membership/vm_list_reader.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"

namespace tanagerloom {

namespace {

// Above this number of nodes, each node reads the VM list less often, so that
// the rate of all reads together stays constant (32 per second at the default
// interval) and a list of 12,000 engines takes little of a node's time. Nodes
// announce the changes that they read to each other.
constexpr std::size_t kMaxNodesAtFullRate = 16;
// Random variation of the interval, as a fraction, which keeps the nodes of a
// site from reading the list at the same time.
constexpr double kJitterFraction = 0.2;

}  // namespace

VmListReader::VmListReader(PeerContext& context,
                           VmList& vm_list,
                           OnChange on_change)
    : context_(context), vm_list_(vm_list), on_change_(std::move(on_change)) {}

bool VmListReader::is_large_site() const {
  return context_.members.Nodes().size() > kMaxNodesAtFullRate;
}

Duration VmListReader::Interval() const {
  const double jitter =
      1.0 - kJitterFraction + 2 * kJitterFraction * RandomUnit();
  const double spread = static_cast<double>(context_.members.Nodes().size()) /
                        kMaxNodesAtFullRate;
  const Duration base = context_.settings.vm_list_interval;
  return Duration(static_cast<Duration::rep>(static_cast<double>(base.count()) *
                                             jitter * std::max(1.0, spread)));
}

void VmListReader::Run() {
  while (!context_.stopping) {
    reading_ = true;
    Read();
    reading_ = false;
    if (!context_.stopping) {
      context_.clock.SleepFor(Interval());
    }
  }
}

void VmListReader::Read() {
  auto list = vm_list_.Read();
  if (context_.stopping) {
    return;
  }
  const auto now = context_.clock.Now();
  if (!list) {
    if (!failed_since_) {
      failed_since_ = now;
      context_.events.Record(events::kVmListUnavailable,
                             {{"cause", list.assume_error().message}});
    }
    return;
  }
  if (failed_since_) {
    context_.events.Record(events::kVmListAvailable,
                           {{"outage_ms", ToMillis(now - *failed_since_)}});
    failed_since_.reset();
  }
  const auto previous_vms = context_.members.Vms(now);
  if (!context_.members.SetVms(std::move(list).assume_value(), now)) {
    return;
  }
  const auto nodes = context_.members.Nodes().size();
  const auto vms = context_.members.Vms(now).size();
  context_.events.Record(events::kVmListChanged,
                         {{"nodes", nodes}, {"endpoints", vms - nodes}});
  on_change_(previous_vms);
}

}  // namespace tanagerloom
