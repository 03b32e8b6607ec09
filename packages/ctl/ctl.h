// Defines RunCtl, the whole of the program tanagerctl but its process.
#ifndef CTL_CTL_H_
#define CTL_CTL_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace tanagerloom {

/// Runs one command; `args` are without the program's name. Returns the exit
/// status, see ExitStatus. Results go to `out`, problems to `err`.
int RunCtl(boost::asio::io_context& io,
           const std::vector<std::string>& args,
           std::ostream& out,
           std::ostream& err);

}  // namespace tanagerloom

#endif  // CTL_CTL_H_
