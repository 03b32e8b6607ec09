#include "runtime/runtime.h"

int main() {
  tanagerloom::Runtime::Get();
  tanagerloom::Runtime::Exit(0);
}
