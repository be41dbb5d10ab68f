#include "backend/completion.h"

#include <doctest/doctest.h>

using namespace almondline::backend;

TEST_CASE("completion_builder joins the deltas of a stream into one completion")
{
    completion_builder builder;
    CHECK(builder.add_chunk(R"({"id":"c1","model":"m","created":5,"choices":[{"index":0,)"
                            R"("delta":{"role":"assistant","content":"Hel"}}]})"));
    CHECK(builder.add_chunk(R"({"choices":[{"index":0,"delta":{"content":"lo"},)"
                            R"("finish_reason":"stop"}]})"));
    CHECK(builder.add_chunk(R"({"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":2,)"
                            R"("prompt_tokens_details":{"cached_tokens":1}}})"));
    CHECK(builder.build() ==
          R"({"id":"c1","object":"chat.completion","created":5,"model":"m","choices":[{"index":0,)"
          R"("message":{"role":"assistant","content":"Hello"},"finish_reason":"stop"}],)"
          R"("usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5,)"
          R"("prompt_tokens_details":{"cached_tokens":1}}})");
    CHECK(builder.content_chunks() == 2);
    CHECK(builder.usage().cached_tokens == 1);
}

TEST_CASE("completion_builder joins the arguments of a tool call")
{
    completion_builder builder;
    builder.add_chunk(R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"t",)"
                      R"("type":"function","function":{"name":"f","arguments":"{\"a\""}}]}}]})");
    builder.add_chunk(R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,)"
                      R"("function":{"arguments":":1}"}}]}}]})");
    CHECK(builder.build().find(R"("function":{"name":"f","arguments":"{\"a\":1}"})") !=
          std::string::npos);
}

TEST_CASE("completion_builder rejects text that is not a chunk")
{
    completion_builder builder;
    CHECK_FALSE(builder.add_chunk("not json"));
    CHECK_FALSE(builder.add_chunk("[1]"));
    CHECK_FALSE(builder.add_chunk("{}"));
}

TEST_CASE("completion_builder clamps token counts that do not fit an integer")
{
    // Converting such a count to an integer is undefined behavior.
    completion_builder builder;
    builder.add_chunk(R"({"usage":{"prompt_tokens":1e300,"completion_tokens":-3}})");
    CHECK(builder.usage().prompt_tokens <= 1e12);
    CHECK(builder.usage().completion_tokens == 0);
    CHECK(builder.build().find(R"("completion_tokens":0)") != std::string::npos);
}
