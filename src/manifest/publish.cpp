#include "manifest/publish.h"

#include "common/hash.h"
#include "manifest/parse.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <memory>

namespace almondline {

namespace {

std::string format_utc(system_time time)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return {buf.data(), n};
}

/// Returns the publication with this version, nullptr if the history does not reach back to it.
const publication* find_version(const manifest_pointer& pointer, std::int64_t version)
{
    if (pointer.current.version == version) {
        return &pointer.current;
    }
    const auto it = std::find_if(pointer.history.begin(), pointer.history.end(),
                                 [&](const auto& x) { return x.version == version; });
    return it == pointer.history.end() ? nullptr : &*it;
}

struct publish_operation : std::enable_shared_from_this<publish_operation> {
    publish_operation(key_value_store& target, const clock_source& wall_clock,
                      publish_request wanted, publish_options settings,
                      std::function<void(const publish_result&)> done)
        : store{target}, clock{wall_clock}, request{std::move(wanted)},
          options{std::move(settings)}, handler{std::move(done)}
    {
        result.publish_id = request.publish_id;
    }

    void start();
    void check_base(const get_result& r);
    void write_chunk(std::size_t chunk);
    void note_chunk(std::size_t chunk, const put_result& r);
    void read_chunk_back(std::size_t chunk);
    void write_pointer();
    void note_pointer(const put_result& r);
    void read_pointer_back();
    void resolve_outcome(const get_result& r);
    void retry(const std::string& cause, std::function<void()> action);
    void succeed(publish_status status);
    void clear_dropped_body(int chunk);
    void lose_race(const manifest_pointer& stored);
    void finish(publish_status status, const std::string& message);

    key_value_store& store;
    const clock_source& clock;
    publish_request request;
    publish_options options;
    std::function<void(const publish_result&)> handler;
    std::vector<std::string> chunks;
    manifest_pointer pointer; ///< record to be written
    publication dropped;      ///< removed from the history by this one; no chunks if there is none
    std::uint64_t expected_revision = 0;
    int attempts = 0;
    /// True once a write of the pointer may have taken effect.
    bool may_be_published = false;
    publish_result result;
};

void publish_operation::finish(publish_status status, const std::string& message)
{
    result.status = status;
    result.message = message;
    handler(result);
}

void publish_operation::start()
{
    parse_error error;
    if (!try_parse_manifest(request.text, {}, error)) {
        finish(publish_status::refused, to_string(error));
        return;
    }
    chunks = split_utf8(request.text, max_store_value);
    store.get(manifest_pointer_key,
              [self = shared_from_this()](const get_result& r) { self->check_base(r); });
}

void publish_operation::check_base(const get_result& r)
{
    if (r.status == get_status::failed) {
        finish(publish_status::unreachable, "the current version can't be read: " + r.message);
        return;
    }
    manifest_pointer before;
    if (r.status == get_status::found) {
        const auto parsed = parse_manifest_pointer(r.value);
        if (!parsed) {
            finish(publish_status::refused, "the record manifest/current is malformed");
            return;
        }
        before = *parsed;
    }
    result.current_version = before.current.version;
    if (before.current.version != request.based_on) {
        lose_race(before);
        return;
    }
    expected_revision = r.revision;
    pointer.current = {request.based_on + 1,     request.publish_id,
                       sha256_hex(request.text), static_cast<int>(chunks.size()),
                       request.operator_name,    format_utc(clock.wall())};
    pointer.history = before.history;
    if (before.current.version > 0) {
        pointer.history.insert(pointer.history.begin(), before.current);
    }
    if (pointer.history.size() > max_history) {
        dropped = pointer.history.back();
        pointer.history.resize(max_history);
    }
    write_chunk(0);
}

void publish_operation::write_chunk(std::size_t chunk)
{
    if (chunk == chunks.size()) {
        attempts = 0;
        write_pointer();
        return;
    }
    store.compare_and_swap(
        manifest_chunk_key(request.publish_id, static_cast<int>(chunk)), 0, chunks[chunk], {},
        [self = shared_from_this(), chunk](const put_result& r) { self->note_chunk(chunk, r); });
}

void publish_operation::note_chunk(std::size_t chunk, const put_result& r)
{
    if (r.status == put_status::done) {
        write_chunk(chunk + 1);
        return;
    }
    if (r.status == put_status::refused) {
        finish(publish_status::refused, "the store refused the body: " + r.message);
        return;
    }
    // A conflict can be caused by this operation's own earlier write whose response was lost.
    read_chunk_back(chunk);
}

void publish_operation::read_chunk_back(std::size_t chunk)
{
    const auto self = shared_from_this();
    store.get(manifest_chunk_key(request.publish_id, static_cast<int>(chunk)),
              [self, chunk](const get_result& r) {
                  if (r.status == get_status::found && r.value == self->chunks[chunk]) {
                      self->write_chunk(chunk + 1);
                      return;
                  }
                  if (r.status == get_status::found) {
                      self->finish(publish_status::refused, "the publish id is already in use");
                      return;
                  }
                  self->retry("the body could not be written", [self, chunk, status = r.status] {
                      status == get_status::missing ? self->write_chunk(chunk)
                                                    : self->read_chunk_back(chunk);
                  });
              });
}

void publish_operation::write_pointer()
{
    store.compare_and_swap(
        manifest_pointer_key, expected_revision, format_manifest_pointer(pointer), {},
        [self = shared_from_this()](const put_result& r) { self->note_pointer(r); });
}

void publish_operation::note_pointer(const put_result& r)
{
    if (r.status == put_status::done) {
        result.current_version = pointer.current.version;
        succeed(publish_status::published);
        return;
    }
    if (r.status == put_status::refused && !may_be_published) {
        finish(publish_status::refused, "the store refused the pointer: " + r.message);
        return;
    }
    may_be_published = may_be_published || r.status == put_status::unknown;
    read_pointer_back();
}

void publish_operation::read_pointer_back()
{
    store.get(manifest_pointer_key,
              [self = shared_from_this()](const get_result& r) { self->resolve_outcome(r); });
}

void publish_operation::resolve_outcome(const get_result& r)
{
    const auto self = shared_from_this();
    if (r.status == get_status::failed) {
        retry("the response was lost and reading back failed: " + r.message,
              [self] { self->read_pointer_back(); });
        return;
    }
    if (r.revision == expected_revision) {
        retry("the response was lost and the write has not taken effect yet",
              [self] { self->write_pointer(); });
        return;
    }
    const auto stored =
        r.status == get_status::found ? parse_manifest_pointer(r.value) : std::nullopt;
    if (!stored) {
        finish(may_be_published ? publish_status::undecided : publish_status::refused,
               "the record manifest/current was removed or is malformed");
        return;
    }
    result.current_version = stored->current.version;
    const auto* same_version = find_version(*stored, pointer.current.version);
    if (same_version != nullptr && same_version->publish_id == request.publish_id) {
        const bool is_current = stored->current.publish_id == request.publish_id;
        succeed(is_current ? publish_status::published : publish_status::superseded);
        return;
    }
    if (same_version == nullptr && may_be_published) {
        finish(publish_status::undecided, "the response was lost and the history no longer reaches "
                                          "back to version " +
                                              std::to_string(pointer.current.version));
        return;
    }
    lose_race(*stored);
}

void publish_operation::succeed(publish_status status)
{
    result.status = status;
    result.version = pointer.current.version;
    clear_dropped_body(0);
}

// The protocol deletes a key only with its lease, so without this the store would keep each body
// forever. Failures are ignored: they leave a body behind but don't affect the publication.
void publish_operation::clear_dropped_body(int chunk)
{
    if (chunk >= dropped.chunk_count) {
        finish(result.status, {});
        return;
    }
    const auto self = shared_from_this();
    const auto key = manifest_chunk_key(dropped.publish_id, chunk);
    store.get(key, [self, key, chunk](const get_result& r) {
        if (r.status != get_status::found) {
            self->clear_dropped_body(chunk + 1);
            return;
        }
        self->store.compare_and_swap(key, r.revision, {}, {}, [self, chunk](const put_result&) {
            self->clear_dropped_body(chunk + 1);
        });
    });
}

void publish_operation::retry(const std::string& cause, std::function<void()> action)
{
    if (++attempts <= options.max_retries && options.wait) {
        options.wait(options.retry_interval, std::move(action));
        return;
    }
    finish(may_be_published ? publish_status::undecided : publish_status::unreachable, cause);
}

void publish_operation::lose_race(const manifest_pointer& stored)
{
    result.winner = stored.current.operator_name;
    const auto current = stored.current.version == 0
                             ? std::string{"the store holds no manifest"}
                             : "version " + std::to_string(stored.current.version) + " by " +
                                   stored.current.operator_name + " is current";
    finish(publish_status::lost_race,
           current + ", the change is based on version " + std::to_string(request.based_on));
}

} // namespace

std::vector<std::string> split_utf8(std::string_view text, std::size_t max_bytes)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        std::size_t n = std::min(text.size(), max_bytes);
        // Bytes 10xxxxxx continue a character. A character has at most 4 bytes.
        for (int i = 0; i < 3 && n > 1 && n < text.size(); ++i) {
            if ((static_cast<unsigned char>(text[n]) & 0xc0U) != 0x80U) {
                break;
            }
            --n;
        }
        parts.emplace_back(text.substr(0, n));
        text.remove_prefix(n);
    }
    return parts;
}

void publish_manifest(key_value_store& store, const clock_source& clock, publish_request request,
                      publish_options options, std::function<void(const publish_result&)> handler)
{
    std::make_shared<publish_operation>(store, clock, std::move(request), std::move(options),
                                        std::move(handler))
        ->start();
}

} // namespace almondline
