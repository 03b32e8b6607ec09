// Defines AdminServer, the HTTP server of a node for operators, monitoring and
// the health checks of the load balancer.
#ifndef CONTROL_ADMIN_SERVER_H_
#define CONTROL_ADMIN_SERVER_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/address.h"
#include "base/error.h"
#include "http/http_message.h"
#include "http/http_server.h"

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

class ConfigStore;
class EventLog;
class Metrics;
class PeerNetwork;

/// Functions of the rest of the node that AdminServer calls. An empty function
/// adds nothing to the responses; without `drain`, draining is refused.
struct AdminCallbacks {
  /// Returns why the node does not accept requests, or an empty text if it
  /// does. AdminServer itself checks the configuration and draining.
  std::function<std::string()> not_ready_reason;
  /// Starts a graceful shutdown and returns immediately.
  std::function<void()> drain;
  /// Returns the placement records as JSON {"cells":[RECORD, ...]}. Section 2.3
  /// of docs/design.md describes RECORD.
  std::function<nlohmann::json()> placement;
  /// Returns additional fields of /operator/status.
  std::function<nlohmann::json()> status;
};

/// Serves health checks, metrics, the operator API and the event timeline.
///
/// PUT requests and POST /operator/drain require `Authorization: Bearer TOKEN`.
/// The body of an error response is JSON {"error":{"code","message"}}.
class AdminServer {
 public:
  AdminServer(boost::asio::io_context& io,
              ConfigStore& config,
              PeerNetwork& peers,
              EventLog& events,
              Metrics& metrics,
              AdminCallbacks callbacks);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Starts to listen; returns the bound address. Fails as HttpServer::Listen.
  Result<Address> Listen(const Address& address);

  /// Stops accepting connections; requests in flight are answered.
  void StopAccepting();

  /// Returns the response to one request; 404 if no route matches.
  HttpResponse Handle(const HttpRequest& request);

 private:
  using Handler = HttpResponse (AdminServer::*)(const HttpRequest&);

  HttpResponse Healthz(const HttpRequest& request);
  HttpResponse Readyz(const HttpRequest& request);
  HttpResponse MetricsText(const HttpRequest& request);
  HttpResponse ApplyFile(const HttpRequest& request);
  HttpResponse ShowConfiguration(const HttpRequest& request);
  HttpResponse ShowFile(const HttpRequest& request);
  HttpResponse History(const HttpRequest& request);
  HttpResponse Status(const HttpRequest& request);
  HttpResponse Placement(const HttpRequest& request);
  HttpResponse Timeline(const HttpRequest& request);
  HttpResponse Drain(const HttpRequest& request);

  /// The handler of a request; null if no route matches.
  Handler FindHandler(const HttpRequest& request) const;
  /// Why /readyz fails; empty if the node is ready.
  std::string NotReadyReason() const;
  nlohmann::json PlacementJson() const;

  ConfigStore& config_;
  PeerNetwork& peers_;
  EventLog& events_;
  Metrics& metrics_;
  AdminCallbacks callbacks_;
  bool draining_ = false;
  HttpServer server_;
};

}  // namespace tanagerloom

#endif  // CONTROL_ADMIN_SERVER_H_
