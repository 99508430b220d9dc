#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace camphortide::standin
{

/// Makes the random choices of one schedule. A seed gives the same choices on
/// every platform.
class schedule_random
{
public:
    explicit schedule_random(std::uint64_t seed) : m_engine(seed) {}

    /// @param limit must not be 0
    /// @return a random number less than the limit
    std::size_t below(std::size_t limit)
    {
        return static_cast<std::size_t>(m_engine() % limit);
    }

    /// @param chance probability of true, in percent
    bool percent(std::size_t chance) { return below(100) < chance; }

private:
    std::mt19937_64 m_engine;
};

} // namespace camphortide::standin
