// Defines main() of each test program. Runs the tests on a fiber, because the
// code under test blocks fibers.
#include <gtest/gtest.h>

#include "runtime/runtime.h"

int main(int argc, char** argv) {
  testing::InitGoogleTest(&argc, argv);
  tanagerloom::Runtime::Get();
  tanagerloom::Runtime::Exit(RUN_ALL_TESTS());
}
