// Defines Flags, the command line of the stand-ins: "--name value" pairs.
#ifndef TESTING_SUPPORT_FLAGS_H_
#define TESTING_SUPPORT_FLAGS_H_

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "base/address.h"

namespace tanagerloom::testing_support {

/// Flags given as "--name value" or "--name=value".
class Flags {
 public:
  Flags(int argc, char** argv);

  std::string Text(const std::string& name, std::string fallback = "") const;
  double Number(const std::string& name, double fallback) const;
  bool Bool(const std::string& name, bool fallback) const;
  std::chrono::milliseconds Milliseconds(const std::string& name,
                                         int fallback) const;
  /// The values of a comma-separated list.
  std::vector<std::string> List(const std::string& name) const;

 private:
  std::map<std::string, std::string> values_;
};

/// Parses "IP:PORT"; port 0 if it is malformed.
Address ParseAddress(const std::string& text);

}  // namespace tanagerloom::testing_support

#endif  // TESTING_SUPPORT_FLAGS_H_
