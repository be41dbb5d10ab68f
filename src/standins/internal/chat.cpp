#include "standins/internal/chat.h"

#include "common/hash.h"
#include "common/json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/error.hpp>

namespace almondline::standins {

namespace json = boost::json;

namespace {

constexpr int max_answer_tokens = 100'000;

json::object usage_object(const chat_usage& usage)
{
    json::object details;
    details["cached_tokens"] = usage.cached_tokens;
    json::object out;
    out["prompt_tokens"] = usage.prompt_tokens;
    out["completion_tokens"] = usage.completion_tokens;
    out["total_tokens"] = usage.prompt_tokens + usage.completion_tokens;
    out["prompt_tokens_details"] = std::move(details);
    return out;
}

json::object chunk_object(const std::string& id, const std::string& model, json::object choice)
{
    json::object out;
    out["id"] = id;
    out["object"] = "chat.completion.chunk";
    out["model"] = model;
    out["choices"] = json::array{std::move(choice)};
    return out;
}

void append_content(const json::value& message, std::string& prompt)
{
    prompt += string_or(message, "content");
    const auto* content =
        message.is_object() ? message.get_object().if_contains("content") : nullptr;
    if (content == nullptr || !content->is_array()) {
        return;
    }
    for (const auto& part : content->get_array()) {
        prompt += string_or(part, "text");
    }
}

std::string event_text(int event_id, const std::string& data)
{
    return "id: " + std::to_string(event_id) + "\ndata: " + data + "\n\n";
}

} // namespace

boost::leaf::result<chat_request> parse_chat_request(std::string_view body)
{
    BOOST_LEAF_AUTO(value, parse_json(body));
    const auto* messages = value.is_object() ? value.get_object().if_contains("messages") : nullptr;
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return boost::leaf::new_error(parse_error{{}, 0, "messages", "must be a non-empty list"});
    }
    chat_request request;
    for (const auto& it : messages->get_array()) {
        append_content(it, request.prompt);
    }
    request.model = string_or(value, "model");
    request.max_tokens = static_cast<int>(integer_or(value, "max_tokens", request.max_tokens));
    request.is_stream = bool_or(value, "stream", false);
    if (request.max_tokens < 1 || request.max_tokens > max_answer_tokens) {
        return boost::leaf::new_error(parse_error{{}, 0, "max_tokens", "must be from 1 to 100000"});
    }
    return request;
}

std::string content_digest(const chat_request& request)
{
    return sha256_hex(request.model + "\n" + std::to_string(request.max_tokens) + "\n" +
                      request.prompt);
}

std::string answer_token(const std::string& digest, int i)
{
    constexpr std::size_t digits = 7;
    return "w" + sha256_hex(digest + ":" + std::to_string(i)).substr(0, digits) + " ";
}

std::string answer_text(const std::string& digest, int tokens)
{
    std::string text;
    for (int i = 0; i < tokens; ++i) {
        text += answer_token(digest, i);
    }
    return text;
}

std::string completion_json(const std::string& id, const std::string& model,
                            const std::string& text, const chat_usage& usage)
{
    json::object message;
    message["role"] = "assistant";
    message["content"] = text;
    json::object choice;
    choice["index"] = 0;
    choice["message"] = std::move(message);
    choice["finish_reason"] = "stop";
    json::object out;
    out["id"] = id;
    out["object"] = "chat.completion";
    out["model"] = model;
    out["choices"] = json::array{std::move(choice)};
    out["usage"] = usage_object(usage);
    return json::serialize(out);
}

std::string token_event(const std::string& id, const std::string& model, int i,
                        const std::string& text)
{
    json::object delta;
    if (i == 0) {
        delta["role"] = "assistant";
    }
    delta["content"] = text;
    json::object choice;
    choice["index"] = 0;
    choice["delta"] = std::move(delta);
    choice["finish_reason"] = nullptr;
    return event_text(i + 1, json::serialize(chunk_object(id, model, std::move(choice))));
}

std::string usage_event(const std::string& id, const std::string& model, const chat_usage& usage)
{
    json::object choice;
    choice["index"] = 0;
    choice["delta"] = json::object{};
    choice["finish_reason"] = "stop";
    auto chunk = chunk_object(id, model, std::move(choice));
    chunk["usage"] = usage_object(usage);
    return event_text(usage.completion_tokens + 1, json::serialize(chunk));
}

std::string done_event(const chat_usage& usage)
{
    return event_text(usage.completion_tokens + 2, "[DONE]");
}

} // namespace almondline::standins
