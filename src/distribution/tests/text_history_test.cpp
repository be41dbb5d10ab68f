#include "distribution/internal/body_transfer.h"
#include "distribution/internal/text_patch.h"
#include "distribution/tests/distribution_fleet.h"

#include <doctest/doctest.h>

using namespace almondline::distribution;
using namespace almondline::distribution::tests;

namespace {

std::shared_ptr<const manifest_copy> make_copy(std::int64_t version, const std::string& text)
{
    return std::make_shared<const manifest_copy>(
        manifest_copy{version, almondline::sha256_hex(text), text});
}

} // namespace

TEST_CASE("a peer some versions behind receives the steps since then, any other the whole text")
{
    std::vector<std::shared_ptr<const manifest_copy>> copies;
    text_history history;
    auto text = random_text(20'000);
    for (std::int64_t version = 1; version <= 40; ++version) {
        text += "change " + std::to_string(version);
        copies.push_back(make_copy(version, text));
        add_text(history, copies.back(), nullptr);
        CHECK((short_step(history) != nullptr) == (version > 1));
    }
    std::size_t patched = 0;
    for (const auto& it : copies) {
        if (it != copies.back()) {
            const auto body = encode_text(history, it->digest);
            const bool is_patch = !body->base_digest.value().empty();
            patched += is_patch ? 1 : 0;
            CHECK((body->data.size() < 2'000) == is_patch);
            const auto decoded = decode_text(*body, it.get());
            REQUIRE(decoded.has_value());
            CHECK(decoded->text == text);
        }
    }
    CHECK(patched == 16);
    CHECK(decode_text(*encode_text(history, std::string{}), nullptr)->text == text);
    CHECK(encode_text(history, std::nullopt)->data == text);
}

TEST_CASE("an instance passes on the steps that it received, and none to a text that was refused")
{
    const auto first = make_copy(1, random_text(9'000, 1));
    const auto second = make_copy(2, first->text + "second");
    const auto third = make_copy(3, first->text + "third");
    const encoded_body received{2, second->digest, first->digest,
                                make_patch(first->text, second->text)};
    text_history history;
    add_text(history, first, nullptr);
    add_text(history, second, &received);
    REQUIRE(short_step(history) != nullptr);
    CHECK(short_step(history)->patch == received.data);
    revert_text(history, first);
    CHECK(short_step(history) == nullptr);
    CHECK(decode_text(*encode_text(history, std::string{"other"}), nullptr)->text == first->text);
    add_text(history, third, nullptr);
    CHECK(decode_text(*encode_text(history, first->digest), first.get())->text == third->text);
    CHECK(encode_text(history, second->digest)->base_digest == std::string{});
}

TEST_CASE("bodies are sent in order of their requests, at the rate of the queue")
{
    using namespace std::chrono_literals;
    almondline::manual_clock clock;
    const auto body = std::make_shared<const encoded_body>(
        encoded_body{1, "d", std::string{}, random_text(3 * chunk_bytes)});
    // One chunk takes 50 ms.
    transfer_queue queue{20.0 * chunk_bytes, 200ms, {}, 0, clock.now()};
    CHECK(add_transfer(queue, {"a", body, 0}));
    CHECK(add_transfer(queue, {"b", body, 0}));
    CHECK_FALSE(add_transfer(queue, {"c", body, 0}));
    std::string order;
    for (int n = 0; n < 8; ++n) {
        clock.advance(50ms);
        while (const auto taken = take_chunk(queue, clock.now())) {
            order += taken->to;
        }
    }
    CHECK(order == "aaabbb");
    CHECK(add_transfer(queue, {"c", body, 0}));
    cancel_transfers(queue, "c");
    clock.advance(50ms);
    CHECK_FALSE(take_chunk(queue, clock.now()).has_value());
}
