// Defines ClientApi, the callers' side of a node: it accepts requests, queues
// them, dispatches them to endpoints and answers each exactly once.
#ifndef ROUTING_CLIENT_API_H_
#define ROUTING_CLIENT_API_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>

#include "routing/routing_dependencies.h"

namespace tanagerloom {

class HttpResponder;
struct HttpRequest;

/// The callers' API of a node; docs/api.md describes it.
class ClientApi {
 public:
  explicit ClientApi(const RoutingDependencies& deps);
  ~ClientApi();
  ClientApi(const ClientApi&) = delete;
  ClientApi& operator=(const ClientApi&) = delete;

  /// Starts the fibers behind the API. They run until the process ends.
  void Start();

  /// Answers one request; the handler of the caller listener's HttpServer.
  void Handle(const HttpRequest& request, HttpResponder& responder);

  /// Refuses new requests, serves the waiting ones, and returns when no request
  /// is in progress, at most after the shutdown bound; what still waits shortly
  /// before it is refused. A second call refuses the waiting ones at once.
  /// Running requests finish in both cases. Returns the number of requests
  /// still in progress.
  std::size_t Drain();

  /// Requests accepted and not yet answered.
  std::size_t requests_in_flight() const;

  /// Queues, endpoints and counters, as JSON.
  nlohmann::json Status() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace tanagerloom

#endif  // ROUTING_CALLER_API_H_
