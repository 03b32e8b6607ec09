#include "forwarding/quota_charge.h"

#include "fleet/quota_share.h"

namespace tanagerloom {

QuotaCharge::~QuotaCharge() {
  if (share_ != nullptr && !used_) {
    share_->GiveBack(customer_, cost_);
  }
}

QuotaCharge& QuotaCharge::operator=(QuotaCharge&& other) noexcept {
  std::swap(share_, other.share_);
  std::swap(customer_, other.customer_);
  std::swap(cost_, other.cost_);
  std::swap(used_, other.used_);
  return *this;
}

void QuotaCharge::MarkSent() {
  if (share_ != nullptr && !std::exchange(used_, true)) {
    share_->OnSent(customer_, cost_);
  }
}

void QuotaCharge::MarkNotRun() {
  if (share_ != nullptr && std::exchange(used_, false)) {
    share_->OnNotRun(customer_, cost_);
  }
}

}  // namespace tanagerloom
