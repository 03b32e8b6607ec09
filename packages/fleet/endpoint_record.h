// Defines EndpointRecord, what a registered endpoint says of itself.
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

/// The models that an endpoint has loaded, each with its loaded adapters.
using LoadedModels = std::map<std::string, std::set<std::string>, std::less<>>;

/// Copies of weights from which an endpoint loads faster than from the store.
struct CachedWeights {
  std::set<std::string, std::less<>> in_memory;
  std::set<std::string, std::less<>> on_disk;

  bool operator==(const CachedWeights&) const = default;
};

/// One registered endpoint. Its id names one boot or several; `boot` tells
/// those apart.
struct EndpointRecord {
  std::string id;
  std::string service;
  Address address;
  std::string data_centre;
  std::uint32_t slots = 1;  ///< Requests that run at once.
  bool draining = false;    ///< Takes no new work and leaves soon.
  std::uint64_t boot = 0;   ///< Rises with each start; the start in Unix ms.
  std::uint64_t entry_sequence =
      0;  ///< Rises with each description in one boot.
  std::chrono::milliseconds cold_time_left{
      0};  ///< Slower than usual for this long.
  LoadedModels models;
  CachedWeights cached_weights;

  bool operator==(const EndpointRecord&) const = default;
};

}  // namespace tanagerloom

#endif  // FLEET_ENDPOINT_RECORD_H_
