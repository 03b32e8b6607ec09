// Defines HttpObjectStore, the adapter of the ObjectStore port to the
// platform's HTTP object API (docs/design.md, section 3.4).
#ifndef OBJECT_API_HTTP_OBJECT_STORE_H_
#define OBJECT_API_HTTP_OBJECT_STORE_H_

#include "base/address.h"
#include "ports/object_store.h"

namespace tanagerloom {

class HttpClient;
struct HttpRequest;
struct HttpResponse;

/// Number of calls made to the platform, by kind.
struct PlatformCalls {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
};

/// Object API over HTTP.
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
  Result<HttpResponse> Call(const HttpRequest& request, Duration timeout);

  HttpClient& client_;
  const Clock& clock_;
  Address platform_;
  Duration call_timeout_;
  PlatformCalls calls_;
};

}  // namespace tanagerloom

#endif  // OBJECT_API_HTTP_OBJECT_STORE_H_
