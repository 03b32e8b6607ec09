#include "load/load_generator.h"

#include <boost/fiber/fiber.hpp>
#include <nlohmann/json.hpp>

#include "http/http_client.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

namespace {

// Time after a request's deadline until which its response is awaited.
constexpr auto kResponseGrace = std::chrono::seconds(10);
constexpr auto kProgressInterval = std::chrono::seconds(1);
constexpr std::string_view kEndMarker = "data: [DONE]";

HttpRequest ToHttp(const TrafficSpec& traffic, const PlannedRequest& planned) {
  HttpRequest request{"POST", planned.target, {}, planned.body};
  request.headers.Set("Content-Type", "application/json");
  request.headers.Set("Authorization", "Bearer " + traffic.client_key);
  request.headers.Set("X-Deadline-Ms",
                      std::to_string(traffic.deadline.count()));
  if (!traffic.precedence.empty()) {
    request.headers.Set("X-Precedence", traffic.precedence);
  }
  if (!planned.idempotency_key.empty()) {
    request.headers.Set("Idempotency-Key", planned.idempotency_key);
  }
  return request;
}

// Sets the outcome and detail of a refused request from the response body.
void ReadRefusal(const std::string& body, LoadSample& sample) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const auto error = json.is_object() ? json.value("error", nlohmann::json())
                                      : nlohmann::json();
  if (!error.is_object() || !error.contains("verdict")) {
    sample.detail = "refusal without a verdict";
    return;
  }
  sample.detail = error.value("code", "");
  sample.outcome = error.value("verdict", "") == "not_run"
                       ? LoadOutcome::kRefusedNotRun
                       : LoadOutcome::kRefusedMayHaveRun;
}

std::chrono::nanoseconds ColdWait(const HttpHeaders& headers) {
  const auto header = headers.Find("X-Cold-Wait-Ms");
  return header ? std::chrono::milliseconds(
                      std::strtoll(std::string(*header).c_str(), nullptr, 10))
                : std::chrono::milliseconds(0);
}

}  // namespace

LoadGenerator::LoadGenerator(HttpClient& client,
                             Clock& clock,
                             std::vector<Address> nodes)
    : client_(client), clock_(clock), nodes_(std::move(nodes)) {}

LoadSample LoadGenerator::SendRequest(const WorkloadSpec& spec,
                                      const PlannedRequest& planned,
                                      const Address& node,
                                      TimePoint planned_time) {
  const TrafficSpec& traffic = spec.traffic[planned.traffic_index];
  LoadSample sample;
  const auto deadline = planned_time + traffic.deadline + kResponseGrace;
  auto started =
      client_.Start(node, ToHttp(traffic, planned), {.deadline = deadline});
  if (!started) {
    sample.detail = "no response";
    sample.total = clock_.Now() - planned_time;
    return sample;
  }
  auto& exchange = *started.assume_value();
  std::string body;
  while (true) {
    const auto n = exchange.ReadSome(body, deadline);
    if (!n) {
      sample.detail = "response cut";
      return sample;
    }
    if (sample.first_byte.count() == 0) {
      sample.first_byte = clock_.Now() - planned_time;
    }
    if (n.assume_value() == 0) {
      break;
    }
  }
  sample.total = clock_.Now() - planned_time;
  sample.cold_wait = ColdWait(exchange.headers());
  if (exchange.status() != 200) {
    ReadRefusal(body, sample);
    return sample;
  }
  const bool streamed = traffic.stream && !traffic.models.empty();
  if (streamed && body.find(kEndMarker) == std::string::npos) {
    sample.detail = "stream without its end marker";
    return sample;
  }
  sample.outcome = LoadOutcome::kAnswered;
  sample.within_deadline = sample.first_byte <= traffic.deadline;
  return sample;
}

LoadReport LoadGenerator::Run(
    const WorkloadSpec& spec,
    const std::function<void(const LoadProgress&)>& progress) {
  const auto arrivals = PlanArrivals(spec);
  std::vector<std::vector<LoadSample>> samples(spec.traffic.size());
  std::vector<LoadSample> all;
  LoadProgress state{arrivals.size(), 0, 0};
  EventFlag finished;
  const auto start = clock_.Now();
  auto next_progress = start + kProgressInterval;
  for (const auto& it : arrivals) {
    const auto at = start + it.send_offset;
    clock_.SleepUntil(at);
    const Address& node = nodes_[state.sent++ % nodes_.size()];
    boost::fibers::fiber([&, at] {
      auto sample = SendRequest(spec, it, node, at);
      samples[it.traffic_index].push_back(sample);
      all.push_back(std::move(sample));
      ++state.finished;
      finished.Signal();
    }).detach();
    if (progress && clock_.Now() >= next_progress) {
      next_progress += kProgressInterval;
      progress(state);
    }
  }
  while (state.finished < arrivals.size()) {
    finished.WaitUntil(finished.count(), clock_.Now() + kProgressInterval);
    if (progress && clock_.Now() >= next_progress) {
      next_progress = clock_.Now() + kProgressInterval;
      progress(state);
    }
  }
  LoadReport report{spec.name, spec.seed, arrivals.size(), {}, {}};
  for (std::size_t i = 0; i < spec.traffic.size(); ++i) {
    report.traffic[spec.traffic[i].name] = Summarise(samples[i]);
  }
  report.all = Summarise(all);
  return report;
}

}  // namespace tanagerloom
