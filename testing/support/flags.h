// Defines Flags, which parses the command line of the stand-ins. A stand-in
// reads each flag by name with a default value.
#ifndef TESTING_SUPPORT_FLAGS_H_
#define TESTING_SUPPORT_FLAGS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"

namespace tanagerloom::testing_support {

/// Flags given as "--name value" or "--name=value". Each getter returns its
/// fallback if the flag is absent; unknown flags are ignored.
class Flags {
 public:
  Flags(int argc, char** argv);

  std::string Text(const std::string& name, std::string fallback = "") const;
  double Number(const std::string& name, double fallback) const;
  bool Bool(const std::string& name, bool fallback) const;
  std::chrono::milliseconds Milliseconds(const std::string& name,
                                         int fallback) const;
  /// Returns the items of a comma-separated list; empty if the flag is absent.
  std::vector<std::string> List(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
};

/// Parses "IP:PORT". Returns an empty address if there is no colon, and port 0
/// if the port is no number.
Address ParseAddress(const std::string& text);

}  // namespace tanagerloom::testing_support

#endif  // TESTING_SUPPORT_FLAGS_H_
