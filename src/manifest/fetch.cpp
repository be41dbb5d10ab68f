#include "manifest/fetch.h"

#include "common/hash.h"

#include <memory>

namespace almondline {

namespace {

using fetch_handler = std::function<void(const fetch_result&)>;

struct body_fetch : std::enable_shared_from_this<body_fetch> {
    body_fetch(key_value_store& source, publication requested, fetch_handler done)
        : store{source}, wanted{std::move(requested)}, handler{std::move(done)}
    {
    }

    void read_chunk(int chunk)
    {
        if (chunk == wanted.chunk_count) {
            finish();
            return;
        }
        const auto self = shared_from_this();
        store.get(manifest_chunk_key(wanted.publish_id, chunk), [self, chunk](const get_result& r) {
            if (r.status != get_status::found) {
                self->fail("chunk " + std::to_string(chunk) + " of publication " +
                           self->wanted.publish_id + ": " +
                           (r.message.empty() ? "is missing" : r.message));
                return;
            }
            self->result.text += r.value;
            self->read_chunk(chunk + 1);
        });
    }

    void finish()
    {
        if (sha256_hex(result.text) != wanted.digest) {
            fail("the text does not match the digest in its pointer");
            return;
        }
        result.status = fetch_status::found;
        handler(result);
    }

    void fail(const std::string& message)
    {
        result.status = fetch_status::failed;
        result.text.clear();
        result.message = message;
        handler(result);
    }

    key_value_store& store;
    publication wanted;
    fetch_handler handler;
    fetch_result result;
};

} // namespace

void fetch_manifest_body(key_value_store& store, const get_result& pointer_record,
                         fetch_handler handler)
{
    const auto pointer = pointer_record.status == get_status::found
                             ? parse_manifest_pointer(pointer_record.value)
                             : std::nullopt;
    if (!pointer) {
        fetch_result result;
        result.message = pointer_record.status == get_status::found
                             ? "the record manifest/current is malformed"
                             : pointer_record.message;
        result.status = pointer_record.status == get_status::missing ? fetch_status::missing
                                                                     : fetch_status::failed;
        handler(result);
        return;
    }
    auto fetch = std::make_shared<body_fetch>(store, pointer->current, std::move(handler));
    fetch->result.pointer = *pointer;
    fetch->result.revision = pointer_record.revision;
    fetch->read_chunk(0);
}

void fetch_manifest(key_value_store& store, fetch_handler handler)
{
    store.get(manifest_pointer_key, [&store, handler = std::move(handler)](const get_result& r) {
        fetch_manifest_body(store, r, handler);
    });
}

void fetch_publication(key_value_store& store, const publication& wanted, fetch_handler handler)
{
    std::make_shared<body_fetch>(store, wanted, std::move(handler))->read_chunk(0);
}

} // namespace almondline
