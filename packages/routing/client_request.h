// Defines ClientRequest: a checked request of a caller, and how it is read from
// HTTP. Everything that is wrong with a request is found here, before it is
// queued.
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

/// A call of a model.
struct ModelCall {
  ModelKey key;
  std::string cell;
  std::string model_name;             ///< As the caller wrote it.
  bool chat = false;                  ///< A chat completion.
  bool stream = false;                ///< The caller wants server-sent events.
  HttpRequest engine_request;         ///< Asks for a stream in any case.
  std::vector<std::uint64_t> prefix;  ///< Hashes of the prompt's blocks.
};

/// A call of a plain service.
struct ServiceCall {
  std::string service;
  std::uint32_t max_in_flight = 1;  ///< For each endpoint.
  bool retryable = false;
  std::string idempotency_key;  ///< Empty if the caller sent none.
  HttpRequest endpoint_request;
};

/// The list of models.
struct ModelList {};

/// A request that passed all checks.
struct ClientRequest {
  std::string id;
  std::string client_name;
  std::string operator_name;
  std::string class_name;
  std::uint32_t rank = 0;
  bool deferred = false;
  TimePoint arrived;
  TimePoint deadline;
  std::uint64_t fingerprint = 0;  ///< Of method, target and body.
  /// As above without the fields that change between resends.
  std::uint64_t crash_fingerprint = 0;
  std::shared_ptr<const Estate> estate;
  std::variant<ModelList, ModelCall, ServiceCall> call;
};

/// Checks a request against the configuration in force.
std::variant<ClientRequest, Refusal> ReadClientRequest(
    const HttpRequest& request,
    std::string id,
    std::shared_ptr<const Estate> estate,
    TimePoint now);

}  // namespace tanagerloom

#endif  // ROUTING_CALLER_REQUEST_H_
