#include "backend/completion.h"

#include "common/json.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace almondline::backend {

namespace json = boost::json;

namespace {

// Larger counts come from a faulty engine and would not fit the integers of the response.
constexpr double max_tokens = 1e12;

double tokens_or_zero(const json::value& object, std::string_view key)
{
    return std::clamp(number_or(object, key, 0), 0.0, max_tokens);
}

const json::value& member_or_null(const json::value& object, std::string_view key)
{
    static const json::value null;
    const auto* it = object.is_object() ? object.get_object().if_contains(key) : nullptr;
    return it == nullptr ? null : *it;
}

json::value text_or_null(const std::string& text)
{
    return text.empty() ? json::value(nullptr) : json::value(text);
}

} // namespace

bool completion_builder::add_chunk(std::string_view text)
{
    const auto parsed = parse_json(text);
    if (!parsed || !parsed->is_object()) {
        return false;
    }
    const auto& chunk = *parsed;
    id_ = string_or(chunk, "id", id_);
    model_ = string_or(chunk, "model", model_);
    created_ = integer_or(chunk, "created", created_);
    const auto& usage = member_or_null(chunk, "usage");
    if (usage.is_object()) {
        has_usage_ = true;
        usage_.prompt_tokens = tokens_or_zero(usage, "prompt_tokens");
        usage_.completion_tokens = tokens_or_zero(usage, "completion_tokens");
        usage_.cached_tokens =
            tokens_or_zero(member_or_null(usage, "prompt_tokens_details"), "cached_tokens");
    }
    const auto& choices = member_or_null(chunk, "choices");
    if (!choices.is_array()) {
        return has_usage_;
    }
    for (const auto& it : choices.get_array()) {
        auto& merged_choice = choices_[integer_or(it, "index", 0)];
        const auto& delta = member_or_null(it, "delta");
        merged_choice.role = string_or(delta, "role", merged_choice.role);
        const auto content = string_or(delta, "content");
        content_chunks_ += content.empty() ? 0 : 1;
        merged_choice.content += content;
        merged_choice.finish_reason = string_or(it, "finish_reason", merged_choice.finish_reason);
        const auto& calls = member_or_null(delta, "tool_calls");
        if (!calls.is_array()) {
            continue;
        }
        for (const auto& call : calls.get_array()) {
            auto& merged = merged_choice.tool_calls[integer_or(call, "index", 0)];
            const auto& function = member_or_null(call, "function");
            merged.id = string_or(call, "id", merged.id);
            merged.type = string_or(call, "type", merged.type);
            merged.name = string_or(function, "name", merged.name);
            merged.arguments += string_or(function, "arguments");
        }
    }
    return true;
}

std::string completion_builder::build() const
{
    json::array choices;
    for (const auto& [index, it] : choices_) {
        json::object message{{"role", it.role}, {"content", text_or_null(it.content)}};
        json::array calls;
        for (const auto& [call_index, call] : it.tool_calls) {
            calls.push_back(json::object{
                {"id", call.id},
                {"type", call.type},
                {"function", json::object{{"name", call.name}, {"arguments", call.arguments}}}});
        }
        if (!calls.empty()) {
            message["tool_calls"] = std::move(calls);
        }
        choices.push_back(json::object{{"index", index},
                                       {"message", std::move(message)},
                                       {"finish_reason", text_or_null(it.finish_reason)}});
    }
    json::object completion{{"id", id_},
                            {"object", "chat.completion"},
                            {"created", created_},
                            {"model", model_},
                            {"choices", std::move(choices)}};
    if (has_usage_) {
        const auto prompt = static_cast<std::int64_t>(usage_.prompt_tokens);
        const auto generated = static_cast<std::int64_t>(usage_.completion_tokens);
        completion["usage"] = json::object{
            {"prompt_tokens", prompt},
            {"completion_tokens", generated},
            {"total_tokens", prompt + generated},
            {"prompt_tokens_details",
             json::object{{"cached_tokens", static_cast<std::int64_t>(usage_.cached_tokens)}}}};
    }
    return json::serialize(completion);
}

} // namespace almondline::backend
