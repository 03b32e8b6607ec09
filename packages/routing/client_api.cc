#include "routing/client_api.h"

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
#include "routing/cancel_source.h"
#include "routing/claim_store.h"
#include "routing/claimed_calls.h"
#include "routing/client_answer.h"
#include "routing/client_request.h"
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

// Interval at which Drain() checks whether the last request has ended.
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(10);

// Max time that Drain() waits for claim outcomes to be stored. A resend of a
// call whose outcome is not stored is told that the call may have run.
constexpr Duration kClaimDrainTimeout = std::chrono::seconds(10);

// The body of the answer to GET /v1/models: all models and adapters.
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

struct ClientApi::Impl {
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

  /// Answers an accepted request. Suspends until the answer is sent.
  void Serve(ClientRequest request, HttpResponder& responder);
  void ServeService(const ClientRequest& request,
                    const ServiceCall& call,
                    ClientAnswer& answer,
                    CancelSource& cancel);
  /// Refuses a request that was not accepted.
  void RefuseUnaccepted(const std::string& id,
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
  std::size_t in_flight = 0;
  std::uint64_t accepted = 0;  ///< Requests accepted since the start.
  int drain_calls = 0;         ///< Above zero, new requests are refused.
};

ClientApi::ClientApi(const RoutingDependencies& deps)
    : impl_(std::make_unique<Impl>(deps)) {}

ClientApi::~ClientApi() = default;

void ClientApi::Start() {
  impl_->deps.peers.OnMessage([impl = impl_.get()](const std::string& from,
                                                   const PeerMessage& message) {
    impl->quarantine.OnPeerMessage(message);
    if (impl->endpoints.OnPeerMessage(from, message)) {
      impl->scheduler.AssignAllWaiting();
    }
  });
  impl_->scheduler.Start();
  impl_->monitor.Start();
  impl_->claims.Start();
  impl_->quarantine.Start();
}

void ClientApi::Handle(const HttpRequest& request, HttpResponder& responder) {
  auto id = NewId("req-");
  if (impl_->drain_calls > 0) {
    impl_->RefuseUnaccepted(id, ShuttingDown(), responder);
    return;
  }
  auto read = ReadClientRequest(request, id, impl_->deps.estate.Current(),
                                impl_->deps.clock.Now());
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    impl_->RefuseUnaccepted(id, std::move(*refusal), responder);
    return;
  }
  const auto& accepted = std::get<ClientRequest>(read);
  if (auto refusal = impl_->quarantine.Check(accepted.crash_fingerprint)) {
    impl_->RefuseUnaccepted(id, std::move(*refusal), responder);
    return;
  }
  ++impl_->in_flight;
  ++impl_->accepted;
  impl_->Serve(std::move(std::get<ClientRequest>(read)), responder);
  --impl_->in_flight;
}

void ClientApi::Impl::RefuseUnaccepted(const std::string& id,
                                       Refusal refusal,
                                       HttpResponder& responder) {
  RequestRecord record(id, /*retryable=*/false);
  ClientAnswer(responder, record, deps.log).Refuse(std::move(refusal));
}

void ClientApi::Impl::Serve(ClientRequest request, HttpResponder& responder) {
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
  RequestRecord record(request.id, service == nullptr || service->retryable);
  ClientAnswer answer(responder, record, deps.log);
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

void ClientApi::Impl::ServeService(const ClientRequest& request,
                                   const ServiceCall& call,
                                   ClientAnswer& answer,
                                   CancelSource& cancel) {
  const bool claimed = !call.retryable && !call.idempotency_key.empty();
  auto outcome = claimed
                     ? claimed_calls.Run(request, call, answer.record(), cancel)
                     : services.Run(request, call, answer.record(), cancel);
  if (auto* response = std::get_if<HttpResponse>(&outcome)) {
    answer.Send(std::move(*response));
  } else if (auto* refusal = std::get_if<Refusal>(&outcome)) {
    answer.Refuse(std::move(*refusal));
  } else {
    answer.Abandon();
  }
}

std::size_t ClientApi::Drain() {
  const int call = ++impl_->drain_calls;
  const auto end =
      impl_->deps.clock.Now() + impl_->deps.settings.shutdown_timeout;
  if (call > 1) {
    impl_->scheduler.RefuseWaiting(ShuttingDown());
  }
  const auto refuse_at = end - impl_->deps.settings.shutdown_timeout / 10;
  const auto claims_end = impl_->deps.clock.Now() + kClaimDrainTimeout;
  while (impl_->deps.clock.Now() < end &&
         (impl_->in_flight > 0 || (impl_->claims.pending() > 0 &&
                                   impl_->deps.clock.Now() < claims_end))) {
    impl_->deps.clock.SleepFor(kDrainCheckInterval);
    if (impl_->deps.clock.Now() >= refuse_at) {
      impl_->scheduler.RefuseWaiting(ShuttingDown());
    }
  }
  return impl_->in_flight;
}

std::size_t ClientApi::requests_in_flight() const {
  return impl_->in_flight;
}

nlohmann::json ClientApi::Status() const {
  return {{"draining", impl_->drain_calls > 0},
          {"accepted", impl_->accepted},
          {"in_progress", impl_->in_flight},
          {"retries_left", impl_->budget.tokens()},
          {"claims_pending", impl_->claims.pending()},
          {"crashes", impl_->quarantine.Status()},
          {"scheduler", impl_->scheduler.Status()},
          {"endpoints", impl_->endpoints.Status()}};
}

}  // namespace tanagerloom
