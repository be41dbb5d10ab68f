#include "common/log.h"
#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>

// The build sets FUZZ_TARGET to the name of one target; the linter runs without it.
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
