#include "fuzz/invariant.h"
#include "fuzz/targets.h"
#include "idempotency/internal/claim_record.h"
#include "manifest/types/manifest_pointer.h"

namespace almondline::fuzz {

namespace {

void check_pointer(const manifest_pointer& pointer)
{
    require(pointer.current.version > 0, "a published version is positive");
    require(pointer.current.chunk_count > 0 && pointer.current.chunk_count <= max_manifest_chunks,
            "the number of chunks is within its limit");
    const auto text = format_manifest_pointer(pointer);
    const auto again = parse_manifest_pointer(text);
    require(again.has_value(), "a formatted pointer can be parsed");
    require(format_manifest_pointer(*again) == text,
            "a formatted pointer parses to the same pointer");
}

bool is_same(const idempotency::claim_entry& a, const idempotency::claim_entry& b)
{
    return a.claim_id == b.claim_id && a.holder == b.holder &&
           a.holder_incarnation == b.holder_incarnation && a.since_epoch == b.since_epoch;
}

void check_claims(const idempotency::claim_record& record)
{
    const auto text = to_text(record);
    require(text.size() <= text_size(record), "text_size is an upper bound");
    idempotency::claim_record again;
    require(parse_claim_record(text, again), "a formatted record can be parsed");
    require(again.claims.size() == record.claims.size(), "a formatted record keeps every claim");
    for (const auto& [hash, it] : record.claims) {
        require(idempotency::range_of(hash) >= 0, "a key hash has a range");
        const auto found = again.claims.find(hash);
        require(found != again.claims.end() && is_same(found->second, it),
                "a formatted claim parses to the same claim");
    }
}

} // namespace

void fuzz_store_records(std::string_view input)
{
    if (const auto pointer = parse_manifest_pointer(input)) {
        check_pointer(*pointer);
    }
    idempotency::claim_record record;
    if (parse_claim_record(input, record)) {
        check_claims(record);
    }
}

} // namespace almondline::fuzz
