// Defines ClientApi, the HTTP API of a node for clients. It accepts requests,
// queues them, dispatches them to endpoints and answers each exactly once.
#ifndef ROUTING_CLIENT_API_H_
#define ROUTING_CLIENT_API_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "routing/routing_dependencies.h"

namespace tanagerloom {

class HttpResponder;
struct HttpRequest;

/// The HTTP API for clients; docs/api.md describes it.
class ClientApi {
 public:
  explicit ClientApi(const RoutingDependencies& deps);
  ~ClientApi();
  ClientApi(const ClientApi&) = delete;
  ClientApi& operator=(const ClientApi&) = delete;

  /// Starts the background fibers of the API. They run until the process ends.
  void Start();

  /// Answers one request. Used as the handler of the HttpServer that listens
  /// for clients.
  void Handle(const HttpRequest& request, HttpResponder& responder);

  /// Refuses new requests and waits until no request is in flight and, for a
  /// limited time, until claim outcomes are stored; at most for
  /// settings.shutdown_bound. Waiting requests are served; those that still
  /// wait after nine tenths of the bound are refused. A second call refuses all
  /// waiting requests at once. Requests that run at an endpoint finish in both
  /// cases. Returns the number of requests still in flight.
  std::size_t Drain();

  /// Number of requests accepted and not yet answered.
  std::size_t requests_in_flight() const;

  /// The state of queues, endpoints and counters, as JSON.
  nlohmann::json Status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace tanagerloom

#endif  // ROUTING_CLIENT_API_H_
