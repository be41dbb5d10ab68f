#include "distribution/internal/text_history.h"

#include "distribution/internal/text_patch.h"

#include <algorithm>
#include <utility>

namespace almondline::distribution {

namespace {

// A receiver decompresses each step, so a long series costs more than the whole text.
constexpr std::size_t max_steps = 16;
constexpr std::size_t max_step_bytes = 128 * 1024; ///< of all steps

std::size_t total_bytes(const std::deque<text_step>& steps)
{
    std::size_t total = 0;
    for (const auto& it : steps) {
        total += it.patch.size();
    }
    return total;
}

void add_step(std::deque<text_step>& steps, text_step step)
{
    if (!steps.empty() && steps.back().digest != step.base_digest) {
        steps.clear();
    }
    if (step.patch.empty()) {
        steps.clear();
        return;
    }
    steps.push_back(std::move(step));
    while (!steps.empty() && (steps.size() > max_steps || total_bytes(steps) > max_step_bytes)) {
        steps.pop_front();
    }
}

bool leads_to_latest(const text_history& history)
{
    return history.latest && !history.steps.empty() &&
           history.steps.back().digest == history.latest->digest;
}

} // namespace

void add_text(text_history& history, std::shared_ptr<const manifest_copy> text,
              const encoded_body* received)
{
    const auto before = std::exchange(history.latest, std::move(text));
    const auto& latest = *history.latest;
    history.whole.reset();
    const bool is_compressed = received != nullptr && received->base_digest.has_value();
    if (is_compressed && received->base_digest->empty()) {
        history.whole = std::make_shared<const encoded_body>(*received);
        history.steps.clear();
    }
    else if (is_compressed) {
        add_step(history.steps, {*received->base_digest, latest.digest, received->data});
    }
    else if (before) {
        add_step(history.steps,
                 {before->digest, latest.digest, make_patch(before->text, latest.text)});
    }
}

void revert_text(text_history& history, std::shared_ptr<const manifest_copy> text)
{
    history.latest = std::move(text);
    history.whole.reset();
}

const text_step* short_step(const text_history& history)
{
    const bool is_short =
        leads_to_latest(history) && history.steps.back().patch.size() <= max_announced_patch_bytes;
    return is_short ? &history.steps.back() : nullptr;
}

std::shared_ptr<const encoded_body> encode_text(text_history& history,
                                                const std::optional<std::string>& base_digest)
{
    const auto& latest = *history.latest;
    encoded_body body{latest.version, latest.digest, base_digest, {}};
    if (!base_digest) {
        body.data = latest.text;
        return std::make_shared<const encoded_body>(std::move(body));
    }
    const auto first = std::find_if(history.steps.begin(), history.steps.end(),
                                    [&](const auto& it) { return it.base_digest == *base_digest; });
    if (first != history.steps.end() && leads_to_latest(history)) {
        std::for_each(first, history.steps.end(), [&](const auto& it) { body.data += it.patch; });
        return std::make_shared<const encoded_body>(std::move(body));
    }
    if (!history.whole) {
        body.base_digest = std::string{};
        body.data = make_patch({}, latest.text);
        if (body.data.empty()) {
            body.base_digest.reset();
            body.data = latest.text;
        }
        history.whole = std::make_shared<const encoded_body>(std::move(body));
    }
    return history.whole;
}

} // namespace almondline::distribution
