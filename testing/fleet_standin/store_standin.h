// Defines StoreStandin, a stand-in for the store of the users' platform, with
// the faults of the real one.
#ifndef TESTING_FLEET_STANDIN_STORE_STANDIN_H_
#define TESTING_FLEET_STANDIN_STORE_STANDIN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/address.h"
#include "http/http_message.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

/// What becomes of one call.
enum class StoreStandinFault {
  kNone,
  kUnavailable,  ///< 503: nothing was done.
  kAnswerLost,   ///< Done, and the connection ends without an answer.
  kSilent,       ///< Never answered.
};

/// Objects by kind and name over HTTP. Lives until the process ends, as the
/// fibers of its server do.
class StoreStandin {
 public:
  StoreStandin();

  const Address& address() const { return address_; }

  /// Writes an object as the operator or an endpoint would.
  void Set(const std::string& kind,
           const std::string& name,
           nlohmann::json spec);
  void Erase(const std::string& kind, const std::string& name);
  /// The `spec` of an object; null if there is none.
  nlohmann::json Spec(const std::string& kind, const std::string& name) const;

  /// Forgets the changes so far: a watch from before gets 410.
  void ForgetHistory() { oldest_revision_ = revision_ + 1; }

  /// Chooses the fault of each call; called with "METHOD TARGET".
  std::function<StoreStandinFault(const std::string& call)> fault =
      [](const std::string&) { return StoreStandinFault::kNone; };
  /// Objects on one page of a list.
  std::size_t page_size = 500;
  /// Calls so far, as "METHOD TARGET".
  std::vector<std::string> calls;

 private:
  struct Object {
    nlohmann::json spec;
    std::uint64_t revision = 0;
  };
  struct Change {
    std::uint64_t revision = 0;
    std::string kind;
    std::string name;
    nlohmann::json spec;
    bool removed = false;
  };
  using Kind = std::map<std::string, Object>;

  void Handle(const HttpRequest& request, HttpResponder& responder);
  HttpResponse Answer(const HttpRequest& request);
  HttpResponse List(const std::string& kind, const HttpRequest& request) const;
  HttpResponse Watch(const std::string& kind, const HttpRequest& request);
  HttpResponse Write(const std::string& kind,
                     const std::string& name,
                     const nlohmann::json& body,
                     bool create);
  void StoreObject(const std::string& kind,
                   const std::string& name,
                   nlohmann::json spec);

  std::map<std::string, Kind> objects_by_kind_;
  std::vector<Change> history_;
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_revision_ = 0;
  EventFlag changed_;
  std::unique_ptr<HttpServer> server_;
  Address address_;
};

}  // namespace tanagerloom

#endif  // TESTING_FLEET_STANDIN_STORE_STANDIN_H_
