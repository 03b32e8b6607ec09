// Defines Verdict, which states whether a request may have run. Retries and
// refusals depend on it, so that a refusal that says "not run" is true.
#ifndef BASE_VERDICT_H_
#define BASE_VERDICT_H_

#include <string_view>

namespace tanagerloom {

/// Whether a request may have run at an endpoint.
enum class Verdict {
  kNotRun,      ///< The request has certainly not run.
  kMayHaveRun,  ///< It is unknown whether the request ran.
  kRan,         ///< The endpoint answered, so the request ran.
};

/// Returns the name used in refusals and events, such as "not_run".
constexpr std::string_view VerdictName(Verdict verdict) {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      return "may_have_run";
    case Verdict::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace tanagerloom

#endif  // BASE_VERDICT_H_
