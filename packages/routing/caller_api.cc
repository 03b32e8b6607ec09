#include "routing/caller_api.h"

#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>

#include "base/event_log.h"
#include "base/events.h"
#include "base/id.h"
#include "config/estate_source.h"
#include "config/settings.h"
#include "decision/retry_budget.h"
#include "http/http_responder.h"
#include "ports/peer_network.h"
#include "routing/caller_answer.h"
#include "routing/caller_request.h"
#include "routing/cancel_source.h"
#include "routing/claim_store.h"
#include "routing/claimed_calls.h"
#include "routing/crash_quarantine.h"
#include "routing/endpoint_monitor.h"
#include "routing/endpoint_table.h"
#include "routing/model_dispatcher.h"
#include "routing/request_scheduler.h"
#include "routing/service_dispatcher.h"

namespace tanagerloom {

namespace {

Refusal ShuttingDown() {
  return {503, "shutting_down",
          "this node is shutting down; another one serves", Verdict::kNotRun,
          std::chrono::seconds(1)};
}

// Interval at which a drain looks for the end of the last request.
constexpr Duration kDrainCheck = std::chrono::milliseconds(10);

// Outcomes that are not stored yet hold up the end of the process this long;
// without them a resend is told that the call may have run.
constexpr Duration kClaimDrainTime = std::chrono::seconds(10);

std::string ModelListBody(const Estate& estate) {
  auto data = nlohmann::json::array();
  const auto add = [&](const std::string& id, const std::string& owner) {
    data.push_back({{"id", id}, {"object", "model"}, {"owned_by", owner}});
  };
  for (const auto& [name, model] : estate.models) {
    add(name, model.operator_name);
    for (const auto& [adapter, spec] : model.adapters) {
      std::string id = name;
      id += ':';
      id += adapter;
      add(id, spec.operator_name);
    }
  }
  return nlohmann::json{{"object", "list"}, {"data", std::move(data)}}.dump();
}

}  // namespace

struct CallerApi::Impl {
  explicit Impl(const RoutingDependencies& dependencies)
      : deps(dependencies),
        endpoints(deps),
        monitor(deps, endpoints),
        scheduler(deps, endpoints),
        quarantine(deps),
        models(deps, scheduler, endpoints, budget, quarantine),
        services(deps, scheduler, endpoints, budget, quarantine),
        claims(deps),
        claimed_calls(deps, claims, services) {}

  void Serve(CallerRequest request, HttpResponder& responder);
  void ServeService(const CallerRequest& request,
                    const ServiceCall& call,
                    CallerAnswer& answer,
                    CancelSource& cancel);
  void RefuseUnread(const std::string& id,
                    Refusal refusal,
                    HttpResponder& responder);

  RoutingDependencies deps;
  EndpointTable endpoints;
  EndpointMonitor monitor;
  RequestScheduler scheduler;
  RetryBudget budget;
  CrashQuarantine quarantine;
  ModelDispatcher models;
  ServiceDispatcher services;
  ClaimStore claims;
  ClaimedCalls claimed_calls;
  std::size_t in_progress = 0;
  std::uint64_t accepted = 0;
  int drains = 0;
};

CallerApi::CallerApi(const RoutingDependencies& deps)
    : impl_(std::make_unique<Impl>(deps)) {}

CallerApi::~CallerApi() = default;

void CallerApi::Start() {
  impl_->deps.peers.OnMessage([impl = impl_.get()](const std::string& from,
                                                   const PeerMessage& message) {
    impl->quarantine.OnPeerMessage(message);
    if (impl->endpoints.OnPeerMessage(from, message)) {
      impl->scheduler.PumpAll();
    }
  });
  impl_->scheduler.Start();
  impl_->monitor.Start();
  impl_->claims.Start();
  impl_->quarantine.Start();
}

void CallerApi::Handle(const HttpRequest& request, HttpResponder& responder) {
  auto id = NewId("req-");
  if (impl_->drains > 0) {
    impl_->RefuseUnread(id, ShuttingDown(), responder);
    return;
  }
  auto read = ReadCallerRequest(request, id, impl_->deps.estate.Current(),
                                impl_->deps.clock.Now());
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    impl_->RefuseUnread(id, std::move(*refusal), responder);
    return;
  }
  const auto& accepted = std::get<CallerRequest>(read);
  if (auto refusal = impl_->quarantine.Check(accepted.crash_fingerprint)) {
    impl_->RefuseUnread(id, std::move(*refusal), responder);
    return;
  }
  ++impl_->in_progress;
  ++impl_->accepted;
  impl_->Serve(std::move(std::get<CallerRequest>(read)), responder);
  --impl_->in_progress;
}

void CallerApi::Impl::RefuseUnread(const std::string& id,
                                   Refusal refusal,
                                   HttpResponder& responder) {
  RequestRecord record(id, /*repeatable=*/false);
  CallerAnswer(responder, record, deps.log).Refuse(std::move(refusal));
}

void CallerApi::Impl::Serve(CallerRequest request, HttpResponder& responder) {
  deps.log.Record(
      events::kRequestAccepted,
      {{"request", request.id},
       {"target", std::visit(
                      [](const auto& call) -> std::string {
                        using T = std::decay_t<decltype(call)>;
                        if constexpr (std::is_same_v<T, ModelCall>) {
                          return call.model_name;
                        } else if constexpr (std::is_same_v<T, ServiceCall>) {
                          return call.service;
                        }
                        return "models";
                      },
                      request.call)},
       {"class", request.class_name}});
  const auto* service = std::get_if<ServiceCall>(&request.call);
  RequestRecord record(request.id, service == nullptr || service->repeatable);
  CallerAnswer answer(responder, record, deps.log);
  CancelSource cancel;
  responder.OnClientGone([&cancel] { cancel.Cancel(); });
  if (auto* model = std::get_if<ModelCall>(&request.call)) {
    auto call = std::move(*model);
    models.Serve(request, std::move(call), answer, cancel);
  } else if (service != nullptr) {
    ServeService(request, *service, answer, cancel);
  } else {
    answer.Send(JsonResponse(200, ModelListBody(*request.estate)));
  }
  responder.OnClientGone([] {});
}

void CallerApi::Impl::ServeService(const CallerRequest& request,
                                   const ServiceCall& call,
                                   CallerAnswer& answer,
                                   CancelSource& cancel) {
  const bool claimed = !call.repeatable && !call.idempotency_key.empty();
  auto outcome = claimed
                     ? claimed_calls.Run(request, call, answer.record(), cancel)
                     : services.Run(request, call, answer.record(), cancel);
  if (auto* response = std::get_if<HttpResponse>(&outcome)) {
    answer.Send(std::move(*response));
  } else if (auto* refusal = std::get_if<Refusal>(&outcome)) {
    answer.Refuse(std::move(*refusal));
  } else {
    answer.CallerGone();
  }
}

std::size_t CallerApi::Drain() {
  const int call = ++impl_->drains;
  const auto end =
      impl_->deps.clock.Now() + impl_->deps.settings.shutdown_timeout;
  if (call > 1) {
    impl_->scheduler.RefuseWaiting(ShuttingDown());
  }
  const auto refuse_at = end - impl_->deps.settings.shutdown_timeout / 10;
  const auto claims_end = impl_->deps.clock.Now() + kClaimDrainTime;
  while (impl_->deps.clock.Now() < end &&
         (impl_->in_progress > 0 || (impl_->claims.pending() > 0 &&
                                     impl_->deps.clock.Now() < claims_end))) {
    impl_->deps.clock.SleepFor(kDrainCheck);
    if (impl_->deps.clock.Now() >= refuse_at) {
      impl_->scheduler.RefuseWaiting(ShuttingDown());
    }
  }
  return impl_->in_progress;
}

std::size_t CallerApi::requests_in_progress() const {
  return impl_->in_progress;
}

nlohmann::json CallerApi::Status() const {
  return {{"draining", impl_->drains > 0},
          {"accepted", impl_->accepted},
          {"in_progress", impl_->in_progress},
          {"retries_left", impl_->budget.saved()},
          {"claims_pending", impl_->claims.pending()},
          {"crashes", impl_->quarantine.Status()},
          {"scheduler", impl_->scheduler.Status()},
          {"endpoints", impl_->endpoints.Status()}};
}

}  // namespace tanagerloom
