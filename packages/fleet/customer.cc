#include "fleet/customer.h"

#include "fleet/request_profile.h"

namespace tanagerloom {

double QuotaCost(const CustomerQuota& quota, const RequestProfile& profile) {
  if (quota.unit == QuotaUnit::kRequests) {
    return 1;
  }
  const double tokens = static_cast<double>(profile.prompt_tokens) +
                        static_cast<double>(profile.max_output_tokens);
  return profile.states_token_counts ? tokens : quota.default_tokens;
}

}  // namespace tanagerloom
