// Defines QuotaCharge, the units that one request uses of its customer's quota.
#ifndef FORWARDING_QUOTA_CHARGE_H_
#define FORWARDING_QUOTA_CHARGE_H_

#include <cstdint>
#include <memory>
#include <utility>

namespace tanagerloom {

class QuotaShare;

/// A charge, which is given back when it is destroyed, unless the request was
/// sent to an endpoint that ran it or may have. An empty charge does nothing.
class QuotaCharge {
 public:
  QuotaCharge() = default;
  QuotaCharge(std::shared_ptr<QuotaShare> share,
              std::uint64_t customer,
              double cost)
      : share_(std::move(share)), customer_(customer), cost_(cost) {}
  ~QuotaCharge();
  QuotaCharge(QuotaCharge&& other) noexcept
      : share_(std::exchange(other.share_, nullptr)),
        customer_(other.customer_),
        cost_(other.cost_),
        used_(other.used_) {}
  QuotaCharge& operator=(QuotaCharge&& other) noexcept;

  /// The request is sent to an endpoint. Further attempts count no more.
  void MarkSent();
  /// No endpoint that the request was sent to has run it.
  void MarkNotRun();

 private:
  std::shared_ptr<QuotaShare> share_;
  std::uint64_t customer_ = 0;
  double cost_ = 0;
  bool used_ = false;
};

}  // namespace tanagerloom

#endif  // FORWARDING_QUOTA_CHARGE_H_
