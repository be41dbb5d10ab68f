#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace almondline::fuzz {

/// Changes inputs at random, the same way on every run and machine.
class mutator {
public:
    explicit mutator(std::uint64_t seed) : random_{seed} {}

    /// Returns one of the seeds with one to four changes.
    std::string make(const std::vector<std::string>& seeds);

private:
    std::size_t below(std::size_t limit);
    void change(std::string& text, const std::vector<std::string>& seeds);

    std::mt19937_64 random_;
};

} // namespace almondline::fuzz
