#pragma once

namespace almondline::scheduling {

/// Cost of an output token in units of a prompt token: decoding takes one forward pass per token,
/// while prefill processes many tokens in one pass.
constexpr double output_cost_factor = 8;

/// Returns the cost of a request in token units, where a prompt token costs 1.
constexpr double token_cost(double prompt_tokens, double output_tokens)
{
    return prompt_tokens + output_cost_factor * output_tokens;
}

} // namespace almondline::scheduling
