#pragma once

namespace almondline::scheduling {

/// Cost of an output token in units of a prompt token: decoding takes one pass a token, prefill
/// handles many tokens in a pass.
constexpr double output_cost_factor = 8;

/// Cost of a request in token units.
constexpr double token_cost(double prompt_tokens, double output_tokens)
{
    return prompt_tokens + output_cost_factor * output_tokens;
}

} // namespace almondline::scheduling
