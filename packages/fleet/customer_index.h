// Defines CustomerIndex, which finds the customer of an API key.
#ifndef FLEET_CUSTOMER_INDEX_H_
#define FLEET_CUSTOMER_INDEX_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tanagerloom {

struct Customer;
struct FleetConfig;

/// Index of the customers of one configuration, which must outlive it. The time
/// of a lookup does not depend on the number of keys, nor on how much of a
/// wrong key matches a right one, since keys are compared by their digests.
class CustomerIndex {
 public:
  explicit CustomerIndex(const FleetConfig& config);

  /// Returns the customer that holds the key with this SHA-256 digest; null if
  /// none does.
  const Customer* FindByKey(std::string_view key_digest) const;
  /// Returns the customer of this name; null if there is none.
  const Customer* FindByName(std::string_view name) const;

  /// Number of customers.
  std::size_t size() const { return by_name_.size(); }

 private:
  std::unordered_map<std::string_view, const Customer*> by_key_;
  std::unordered_map<std::string_view, const Customer*> by_name_;
};

}  // namespace tanagerloom

#endif  // FLEET_CUSTOMER_INDEX_H_
