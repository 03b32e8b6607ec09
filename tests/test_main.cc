// Runs the tests of one program on a fiber, as the product's code runs.
#include <gtest/gtest.h>

#include "runtime/runtime.h"

int main(int argc, char** argv) {
  testing::InitGoogleTest(&argc, argv);
  tanagerloom::Runtime::Get();
  tanagerloom::Runtime::Exit(RUN_ALL_TESTS());
}
