// Defines EndpointStandin, a stand-in for a registered model engine or plain
// service of the users' platform: it serves requests, takes orders and keeps
// its entry in the store.
#ifndef TESTING_FLEET_STANDIN_ENDPOINT_STANDIN_H_
#define TESTING_FLEET_STANDIN_ENDPOINT_STANDIN_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_message.h"
#include "http/http_responder.h"
#include "http/http_server.h"

namespace tanagerloom {

class StoreStandin;

/// One order that reached an engine.
struct ReceivedOrder {
  std::chrono::steady_clock::time_point received_at;
  std::string operation;
  std::string model;
  std::string holder;
  std::uint64_t fence = 0;
};

/// One endpoint. Lives until the process ends, as the fibers of its server do.
class EndpointStandin {
 public:
  using RequestHandler =
      std::function<void(const HttpRequest&, HttpResponder&)>;

  EndpointStandin(StoreStandin& store, std::string id, std::string service);

  /// Writes the endpoint's entry; later changes write it again.
  void Register();

  /// Starts anew under its id: it holds and knows nothing of before but what is
  /// on its disk.
  void Restart();

  /// How a request is served; by default with one whole sealed answer, or on a
  /// path that contains "stream" with four events.
  RequestHandler serve;
  bool draining = false;
  std::chrono::milliseconds load_time{300};
  std::set<std::string> on_disk;
  std::set<std::string> loaded;
  /// Adapters loaded, as MODEL/NAME.
  std::set<std::string> adapters;
  /// The port in the endpoint's entry, such as that of a proxy; 0 stands for
  /// the engine's own.
  std::uint16_t advertised_port = 0;

  const std::string& id() const { return id_; }
  const Address& address() const { return address_; }
  /// Ids of the requests that began to run here.
  const std::vector<std::string>& runs() const { return runs_; }
  const std::vector<HttpRequest>& requests() const { return requests_; }
  const std::vector<ReceivedOrder>& orders() const { return orders_; }
  /// Orders that were refused.
  int refused_orders() const { return refused_orders_; }

  /// The headers of a sealed answer to a request.
  static HttpHeaders SealedHeaders(const HttpRequest& request);
  /// One event of a stream.
  static std::string StreamEvent(int id);

 private:
  void Handle(const HttpRequest& request, HttpResponder& responder);
  void SendReport(HttpResponder& responder) const;
  void HandleOrder(const HttpRequest& request, HttpResponder& responder);
  void HandleAdapterOrder(bool load,
                          std::string name,
                          HttpResponder& responder);
  void ExecuteOrder(bool load, std::string model);
  nlohmann::json ModelsJson() const;
  bool IsLoaded(std::string_view model) const;

  StoreStandin& store_;
  std::string id_;
  std::string service_;
  std::uint64_t entry_sequence_ = 0;
  std::uint64_t started_ms_ = 1700000000000;  ///< Of the Unix epoch.
  std::uint64_t accepted_orders_ = 0;
  bool busy_ = false;
  std::vector<std::string> runs_;
  std::vector<HttpRequest> requests_;
  std::vector<ReceivedOrder> orders_;
  int refused_orders_ = 0;
  std::unique_ptr<HttpServer> server_;
  Address address_;
};

}  // namespace tanagerloom

#endif  // TESTING_FLEET_STANDIN_ENDPOINT_STANDIN_H_
