#include "common/log.h"
#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>

// The build defines FUZZ_TARGET as the name of one target, but not for the linter.
#ifndef FUZZ_TARGET
#define FUZZ_TARGET fuzz_json
#endif

// libFuzzer prescribes the name.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const bool is_quiet = [] {
        almondline::set_log_level("*", almondline::log_level::error);
        return true;
    }();
    static_cast<void>(is_quiet);
    almondline::fuzz::FUZZ_TARGET({reinterpret_cast<const char*>(data), size});
    return 0;
}
