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
    require(idempotency::is_minted(input), "a minted key has the prefix of minted keys");
    require(key->incarnation > 0 && key->expires.count() > 0,
            "the incarnation and the expiry of a minted key are positive");
    // Two texts of one key would be two keys in the outcome table.
    require(to_text(*key) == input, "a minted key has only one text form");
}

} // namespace almondline::fuzz
