#include "idempotency/minted_key.h"

#include "fuzz/invariant.h"
#include "fuzz/targets.h"

namespace almondline::fuzz {

void fuzz_minted_key(std::string_view input)
{
    const auto key = idempotency::parse_minted_key(input);
    if (!key) {
        return;
    }
    require(idempotency::is_minted(input), "a minted key has the prefix");
    require(key->incarnation > 0 && key->expires.count() > 0, "the numbers are positive");
    // Two texts of one key would be two keys in the table of outcomes.
    require(to_text(*key) == input, "a minted key has one text only");
}

} // namespace almondline::fuzz
