#pragma once

#include "common/types/parse_error.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

namespace almondline::standins {

/// The fields of a chat completion request that the engine uses.
struct chat_request {
    std::string model;
    std::string prompt; ///< contents of the messages, concatenated
    int max_tokens = 16;
    bool is_stream = false;
};

/// Parses the body of a chat completion request. The parse_error contains the name of the invalid
/// member.
boost::leaf::result<chat_request> parse_chat_request(std::string_view body);

/// Returns a text that identifies a request's content: SHA-256 of "model\nmax_tokens\nprompt".
std::string content_digest(const chat_request& request);

/// Token i (from 0) of the answer to a request: "w" + the first 7 digits of SHA-256 of "digest:i",
/// and a space. A caller can compute the whole answer from its request.
std::string answer_token(const std::string& digest, int i);
std::string answer_text(const std::string& digest, int tokens);

struct chat_usage {
    int prompt_tokens = 0;
    int cached_tokens = 0;
    int completion_tokens = 0;
};

/// Body of an answer that is not streamed.
std::string completion_json(const std::string& id, const std::string& model,
                            const std::string& text, const chat_usage& usage);
/// SSE event of one token. Event ids start at 1: token i has id i + 1.
std::string token_event(const std::string& id, const std::string& model, int i,
                        const std::string& text);
/// SSE event after the last token, with the finish reason and the usage.
std::string usage_event(const std::string& id, const std::string& model, const chat_usage& usage);
/// SSE event "[DONE]", which ends the stream.
std::string done_event(const chat_usage& usage);

} // namespace almondline::standins
