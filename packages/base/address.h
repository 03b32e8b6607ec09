// Defines Address, an IP number and a port.
#ifndef BASE_ADDRESS_H_
#define BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace tanagerloom {

/// A TCP address.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;

  /// "IP:PORT", for messages.
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

}  // namespace tanagerloom

#endif  // BASE_ADDRESS_H_
