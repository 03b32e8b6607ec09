// Defines EndpointChooser, which chooses the endpoint for each attempt of one
// request.
#ifndef FORWARDING_ENDPOINT_CHOOSER_H_
#define FORWARDING_ENDPOINT_CHOOSER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "base/address.h"
#include "runtime/clock.h"

namespace tanagerloom {

struct SelectionCandidate;
struct ForwardingDependencies;
struct RequestProfile;

/// The endpoint chosen for an attempt.
struct EndpointTarget {
  std::string id;
  std::uint64_t boot = 0;  ///< Start of the endpoint that was chosen.
  Address address;
  std::uint32_t prompt_tokens = 0;  ///< Expected to be read there.
};

/// Chooses among the endpoints that can take the request now, except those that
/// failed it a short time ago.
class EndpointChooser {
 public:
  /// `deps` and `profile` must outlive the chooser. `deadline` is that of the
  /// request.
  EndpointChooser(const ForwardingDependencies& deps,
                  const RequestProfile& profile,
                  std::string service,
                  TimePoint deadline);

  /// Returns an endpoint that can take the request now; nothing if none can.
  std::optional<EndpointTarget> Choose() const;

  /// Returns whether an endpoint has room for some request, if not for this
  /// one.
  bool HasRoom() const;

  /// Returns whether an endpoint other than `id` can take the request now.
  bool HasOther(const std::string& id) const;

  /// Chooses the endpoint only after `until` again.
  void Exclude(const std::string& id, TimePoint until);

 private:
  /// Returns the endpoints that get no attempt now after an earlier one.
  std::set<std::string> Excluded() const;
  /// Returns the endpoints that may get one more request now and are not
  /// `excluded` nor `is_unsuitable` for it.
  std::vector<SelectionCandidate> WithRoom(
      const std::set<std::string>& excluded,
      const std::function<bool(const SelectionCandidate&)>& is_unsuitable)
      const;
  /// Returns whether an endpoint would answer this request too late.
  bool IsTooSlow(const SelectionCandidate& candidate) const;
  /// Returns the tokens of the prompt that an endpoint is expected to read.
  std::uint32_t PromptTokensAt(
      const SelectionCandidate& endpoint,
      std::span<const SelectionCandidate> candidates) const;

  const ForwardingDependencies& deps_;
  const RequestProfile& profile_;
  std::string service_;
  TimePoint deadline_;
  std::map<std::string, TimePoint> excluded_until_;
};

}  // namespace tanagerloom

#endif  // FORWARDING_ENDPOINT_CHOOSER_H_
