// Defines Verdict: what is known about whether a request has run. Retries and
// refusals are decided by it, so that a refusal that says "not run" is true.
#ifndef BASE_VERDICT_H_
#define BASE_VERDICT_H_

#include <string_view>

namespace tanagerloom {

/// Whether a request may have run at an endpoint.
enum class Verdict {
  kNotRun,      ///< It is certain that nothing ran.
  kMayHaveRun,  ///< The outcome is unknown.
  kRan,         ///< The endpoint answered: it ran.
};

/// The name used in refusals and events, such as "not_run".
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
