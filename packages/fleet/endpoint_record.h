// Defines EndpointRecord, the description that an endpoint registers of itself.
#ifndef FLEET_ENDPOINT_RECORD_H_
#define FLEET_ENDPOINT_RECORD_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/address.h"

namespace tanagerloom {

/// Models that an endpoint has in memory, each with its loaded adapters.
using LoadedModels = std::map<std::string, std::set<std::string>, std::less<>>;

/// Models whose weights an endpoint has cached in host memory or on disk. It
/// loads them faster from there than from the weight store.
struct CachedWeights {
  std::set<std::string, std::less<>> in_memory;
  std::set<std::string, std::less<>> on_disk;

  bool operator==(const CachedWeights&) const = default;
};

/// One registered endpoint. An id may be reused after a restart; `boot`
/// distinguishes the starts.
struct EndpointRecord {
  std::string id;
  std::string service;
  Address address;
  std::string data_centre;
  std::uint32_t slots = 1;  ///< Maximum number of concurrent requests.
  bool draining = false;    ///< Takes no new requests and leaves soon.
  std::uint64_t boot = 0;   ///< Start time in Unix ms; rises with each start.
  /// Rises with each entry written in one boot.
  std::uint64_t entry_sequence = 0;
  /// Remaining time in which it runs slower after its start.
  std::chrono::milliseconds cold_time_left{0};
  LoadedModels models;
  CachedWeights cached_weights;

  bool operator==(const EndpointRecord&) const = default;
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_RECORD_H_
