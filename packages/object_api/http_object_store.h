// Defines HttpObjectStore, which implements ObjectStore with the platform's
// HTTP object API (docs/design.md, section 3.4).
#ifndef OBJECT_API_HTTP_OBJECT_STORE_H_
#define OBJECT_API_HTTP_OBJECT_STORE_H_

#include "base/address.h"
#include "ports/object_store.h"

namespace tanagerloom {

class HttpClient;
struct HttpRequest;
struct HttpResponse;

/// Numbers of calls made to the object API. A failed call got no response and
/// is also counted under its kind.
struct PlatformCalls {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
};

/// Accesses the object store over HTTP. `call_timeout` limits each call; a
/// watch may take its own timeout longer.
class HttpObjectStore final : public ObjectStore {
 public:
  HttpObjectStore(HttpClient& client,
                  const Clock& clock,
                  Address platform,
                  Duration call_timeout);

  Result<StoredObject> Get(std::string_view key) override;
  Result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t expected_version) override;
  Result<void> Delete(std::string_view key,
                      std::uint64_t expected_version) override;
  Result<std::vector<ObjectKey>> List(std::string_view prefix) override;
  Result<std::optional<StoredObject>> Watch(std::string_view key,
                                            std::uint64_t after,
                                            Duration timeout) override;

  const PlatformCalls& calls() const { return calls_; }

 private:
  /// Sends a request to the platform; counts a failure if there is no response.
  Result<HttpResponse> Call(const HttpRequest& request, Duration timeout);

  HttpClient& client_;
  const Clock& clock_;
  Address platform_;
  Duration call_timeout_;
  PlatformCalls calls_;
};

}  // namespace tanagerloom

#endif  // OBJECT_API_HTTP_OBJECT_STORE_H_
