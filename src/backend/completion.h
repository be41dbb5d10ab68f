#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almondline::backend {

/// Token counts that an engine reports at the end of a response.
struct token_usage {
    double prompt_tokens = 0;
    double completion_tokens = 0;
    double cached_tokens = 0; ///< part of prompt_tokens that came from the prefix cache
};

/// Builds a plain chat.completion from the chunks of a streamed one and extracts the usage.
/// Requests to engines always ask for a stream, because only a stream can be resumed after its
/// connection is lost.
class completion_builder {
public:
    /// Adds a chunk. Returns false if it is not a chat.completion.chunk.
    bool add_chunk(std::string_view json);
    /// Returns the response received so far as the JSON text of a chat.completion.
    std::string build() const;
    const token_usage& usage() const { return usage_; }
    /// Number of chunk choices with generated content.
    std::uint64_t content_chunks() const { return content_chunks_; }

private:
    struct tool_call {
        std::string id;
        std::string type;
        std::string name;
        std::string arguments;
    };
    struct choice {
        std::string role = "assistant";
        std::string content;
        std::string finish_reason;
        std::map<std::int64_t, tool_call> tool_calls;
    };

    std::string id_;
    std::string model_;
    std::int64_t created_ = 0;
    std::map<std::int64_t, choice> choices_;
    token_usage usage_;
    bool has_usage_ = false;
    std::uint64_t content_chunks_ = 0;
};

} // namespace almondline::backend
