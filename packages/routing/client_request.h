// Defines ClientRequest, a validated request of a client, and
// ReadClientRequest, which parses it from HTTP. Invalid requests are refused
// here, before they are queued.
#ifndef ROUTING_CLIENT_REQUEST_H_
#define ROUTING_CLIENT_REQUEST_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "config/estate.h"
#include "config/model_key.h"
#include "http/http_message.h"
#include "routing/refusal.h"
#include "runtime/clock.h"

namespace tanagerloom {

/// A completion request to a model.
struct ModelCall {
  ModelKey key;
  std::string cell;
  std::string model_name;  ///< The model's name as the client sent it.
  bool chat = false;       ///< A chat completion, not a text completion.
  bool stream = false;     ///< Whether the client asked for server-sent events.
  /// The request to send to the engine. It always asks for a stream, whether or
  /// not the client did.
  HttpRequest engine_request;
  /// Hashes of the prompt's prefixes, one for each block, as engines name them
  /// in cache events.
  std::vector<std::uint64_t> prefix;
};

/// A call to a plain service.
struct ServiceCall {
  std::string service;
  /// Max calls in flight at one endpoint, over all nodes.
  std::uint32_t max_in_flight = 1;
  bool retryable = false;        ///< May be sent again if it may have run.
  std::string idempotency_key;   ///< Empty if the client sent none.
  HttpRequest endpoint_request;  ///< The request to send to the endpoint.
};

/// A request for the list of models.
struct ModelList {};

/// A request that passed all checks, with its class, deadline and target
/// resolved against one configuration.
struct ClientRequest {
  std::string id;
  std::string client_name;    ///< Name of the client that owns the API key.
  std::string operator_name;  ///< Operator that the client belongs to.
  std::string class_name;     ///< Request class (X-Precedence); empty if none.
  std::uint32_t rank = 0;     ///< Rank of the request class.
  bool deferred = false;      ///< The class may wait for all others.
  TimePoint arrived;
  TimePoint deadline;
  /// Hash of method, target and body; set for service calls only.
  std::uint64_t fingerprint = 0;
  /// Hash of method, target and body without the body fields that change
  /// between resends. It identifies a request that crashes endpoints.
  std::uint64_t crash_fingerprint = 0;
  /// The configuration that the request was checked against.
  std::shared_ptr<const Estate> estate;
  std::variant<ModelList, ModelCall, ServiceCall> call;
};

/// Parses and checks a request against the configuration `estate`. Returns a
/// refusal with verdict kNotRun if the request is invalid, not authorized, or
/// no configuration is known yet.
std::variant<ClientRequest, Refusal> ReadClientRequest(
    const HttpRequest& request,
    std::string id,
    std::shared_ptr<const Estate> estate,
    TimePoint now);

}  // namespace tanagerloom

#endif  // ROUTING_CLIENT_REQUEST_H_
