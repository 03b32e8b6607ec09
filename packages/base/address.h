// Defines Address, the IP address and port of a TCP endpoint.
#ifndef BASE_ADDRESS_H_
#define BASE_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <string>

namespace tanagerloom {

/// A TCP address. `ip` is the numeric IP address as text.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;

  /// Returns "IP:PORT", for logs and error messages.
  std::string ToString() const { return ip + ":" + std::to_string(port); }
};

}  // namespace tanagerloom

#endif  // BASE_ADDRESS_H_
