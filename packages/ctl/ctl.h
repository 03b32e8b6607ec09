// Defines RunCtl, the program tanagerctl as a function with given arguments and
// output streams.
#ifndef CTL_CTL_H_
#define CTL_CTL_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

/// Runs one command and returns its exit status, see ExitStatus. `args` does
/// not include the program's name. Results go to `out`, errors to `err`.
int RunCtl(boost::asio::io_context& io,
           const std::vector<std::string>& args,
           std::ostream& out,
           std::ostream& err);

}  // namespace tanagerloom

#endif  // CTL_CTL_H_
