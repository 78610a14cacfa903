// libFuzzer target for parsing the bytes of an upstream.
#include "support/fuzz_checks.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  corianderhoist::CheckAnswerBytes({reinterpret_cast<const char*>(data), size});
  return 0;
}
