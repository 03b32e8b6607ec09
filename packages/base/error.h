// Defines Error and Result, which report the outcome of an operation that can
// fail. The kind of an error separates invalid input, failures of outside
// systems and faults of this program.
#ifndef BASE_ERROR_H_
#define BASE_ERROR_H_

#include <boost/outcome.hpp>
#include <string>
#include <utility>

namespace tanagerloom {

/// The kind of failure that an Error reports.
enum class ErrorKind {
  kInvalid,      ///< A value from a user, client or operator is invalid.
  kNotFound,     ///< The requested object does not exist.
  kConflict,     ///< A conditional update found another version.
  kUnavailable,  ///< An outside system failed; nothing took effect.
  kUnknown,      ///< The reply was lost; the call may have taken effect.
  kTimeout,      ///< The deadline passed; the call may have taken effect.
  kHistoryGone,  ///< The requested changes are no longer stored.
  kCancelled,    ///< This process cancelled the operation.
  kInternal,     ///< A fault of this program.
};

/// A failure. `message` names the invalid value or the cause.
struct Error {
  ErrorKind kind = ErrorKind::kInternal;
  std::string message;
};

/// Either a value of type T or an Error.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
    result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Makes an Error, which converts to any Result.
inline Error MakeError(ErrorKind kind, std::string message) {
  return Error{kind, std::move(message)};
}

}  // namespace tanagerloom

#endif  // BASE_ERROR_H_
