// Defines Error and Result: the outcome of an operation that can fail. The kind
// of an error separates the user's mistakes from the state of outside systems
// and from faults of this program.
#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <boost/outcome.hpp>
#include <string>
#include <utility>

namespace tanagerloom {

/// What kind of failure an Error is.
enum class ErrorKind {
  kInvalid,      ///< A value from a user, caller or operator is wrong.
  kNotFound,     ///< The named thing does not exist.
  kConflict,     ///< A conditional update lost the race.
  kUnavailable,  ///< The outside system refused, and nothing took effect.
  kUnknown,      ///< The answer was lost; it may have taken effect.
  kTimeout,      ///< The deadline passed; it may have taken effect.
  kHistoryGone,  ///< The changes asked for are no longer kept.
  kCancelled,    ///< The operation was stopped by this process.
  kInternal,     ///< A fault of this program.
};

/// A failure with a message that names the bad value.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

/// A value or an Error.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Makes an Error to return from a function that returns a Result.
inline Error MakeError(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message)};
}

}  // namespace tanagerloom

#endif  // BASE_ERROR_H_
