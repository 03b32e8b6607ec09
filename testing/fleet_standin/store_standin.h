// Defines StoreStandin, a stand-in for the object store of the users' platform.
// Tests inject the faults that the real store may show.
#ifndef TESTING_FLEET_STANDIN_STORE_STANDIN_H_
#define TESTING_FLEET_STANDIN_STORE_STANDIN_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "http/http_message.h"
#include "http/http_responder.h"
#include "http/http_server.h"
#include "runtime/event_flag.h"

namespace tanagerloom {

/// The fault that is injected into one call of the store.
enum class StoreStandinFault {
  kNone,
  kRefused,     ///< Status 503, without any effect.
  kAnswerLost,  ///< Takes effect; the connection closes without an answer.
  kSilent,      ///< No effect and no answer; the connection stays open.
};

/// An HTTP server that stores objects by kind and name and supports conditional
/// writes, paged lists and watches. It must live until the process ends,
/// because the fibers of its server do.
class StoreStandin {
 public:
  StoreStandin();

  const Address& address() const { return address_; }

  /// Writes an object unconditionally, as an operator or an endpoint does.
  void Set(const std::string& kind,
           const std::string& name,
           nlohmann::json spec);
  /// Deletes an object; watches see a tombstone.
  void Erase(const std::string& kind, const std::string& name);
  /// Returns the `spec` of an object; null if there is none.
  nlohmann::json Spec(const std::string& kind, const std::string& name) const;

  /// Forgets the changes so far, so that a watch from an earlier revision gets
  /// status 410.
  void ForgetHistory() { oldest_revision_ = revision_ + 1; }

  struct Copy;

  /// Returns a copy of the objects and of the last revision.
  Copy MakeCopy() const;
  /// Goes back to a copy and starts a new era. Revisions after that of the copy
  /// are given out again.
  void Restore(const Copy& copy);

  /// Era that all responses state in a header; empty for a store without eras.
  std::optional<std::uint32_t> era;

  /// Returns the fault to inject into a call, given as "METHOD TARGET".
  std::function<StoreStandinFault(const std::string& call)> fault =
      [](const std::string&) { return StoreStandinFault::kNone; };
  /// Limit on the objects on one page of a list.
  std::size_t page_size = 500;
  /// Calls received so far, as "METHOD TARGET".
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
  /// Executes a call and returns its response.
  HttpResponse Answer(const HttpRequest& request);
  /// Sends a response that states the era.
  void Send(HttpResponder& responder, HttpResponse response) const;
  HttpResponse List(const std::string& kind, const HttpRequest& request) const;
  /// Waits for changes after a revision, at most for the time in the request.
  HttpResponse Watch(const std::string& kind, const HttpRequest& request);
  /// Creates or updates an object. Returns 409 with the stored object if it
  /// exists already or has another revision than the one given.
  HttpResponse Write(const std::string& kind,
                     const std::string& name,
                     const nlohmann::json& body,
                     bool create);
  /// Writes an object under the next revision and wakes the watches.
  void StoreObject(const std::string& kind,
                   const std::string& name,
                   nlohmann::json spec);

  std::map<std::string, Kind> objects_by_kind_;
  std::vector<Change> history_;  ///< Since the start or the last restoration.
  std::uint64_t revision_ = 100;
  std::uint64_t oldest_revision_ = 0;  ///< Oldest that a watch may start from.
  EventFlag changed_;
  std::unique_ptr<HttpServer> server_;
  Address address_;
};

/// The content of a StoreStandin at one time.
struct StoreStandin::Copy {
  std::map<std::string, Kind> objects_by_kind;
  std::uint64_t revision = 0;
};

}  // namespace tanagerloom

#endif  // TESTING_FLEET_STANDIN_STORE_STANDIN_H_
