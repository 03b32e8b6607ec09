// The program tanagerctl, the operator's command-line tool.
#include <iostream>
#include <string>
#include <vector>

#include "ctl/ctl.h"
#include "runtime/runtime.h"

int main(int argc, char** argv) {
  auto& runtime = tanagerloom::Runtime::Get();
  const std::vector<std::string> args(argv + 1, argv + argc);
  const int status =
      tanagerloom::RunCtl(runtime.io(), args, std::cout, std::cerr);
  std::cout.flush();
  tanagerloom::Runtime::Exit(status);
}
