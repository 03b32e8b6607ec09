// Defines HttpEngineControl, which implements EngineControl with the engines'
// HTTP control API (docs/design.md, section 3.6).
#ifndef OBJECT_API_HTTP_ENGINE_CONTROL_H_
#define OBJECT_API_HTTP_ENGINE_CONTROL_H_

#include <nlohmann/json_fwd.hpp>

#include "ports/engine_control.h"
#include "runtime/clock.h"

namespace tanagerloom {

class HttpClient;

/// Controls engines over HTTP. `call_timeout` limits each call.
class HttpEngineControl final : public EngineControl {
 public:
  HttpEngineControl(HttpClient& client,
                    const Clock& clock,
                    Duration call_timeout);

  Result<OrderAnswer> Send(const Address& engine,
                           const EngineOrder& order) override;
  Result<EngineState> ReadState(const Address& engine) override;
  Result<EngineLoad> ReadLoad(const Address& engine) override;
  Result<std::vector<CacheEvent>> ReadCacheEvents(const Address& engine,
                                                  std::uint64_t after) override;

 private:
  /// Reads a JSON object; kUnavailable if the response is anything else.
  Result<nlohmann::json> ReadJson(const Address& engine, std::string target);

  HttpClient& client_;
  const Clock& clock_;
  Duration call_timeout_;
};

}  // namespace tanagerloom

#endif  // OBJECT_API_HTTP_ENGINE_CONTROL_H_
