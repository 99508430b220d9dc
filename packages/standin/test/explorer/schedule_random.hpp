#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace camphortide::standin
{

/// The choices of one schedule; the same on every platform for a seed.
class schedule_random
{
public:
    explicit schedule_random(std::uint64_t seed) : m_engine(seed) {}

    /// @return a number below the limit, which is above 0
    std::size_t below(std::size_t limit)
    {
        return static_cast<std::size_t>(m_engine() % limit);
    }

    /// @return true with a chance of so many in a hundred
    bool percent(std::size_t chance) { return below(100) < chance; }

private:
    std::mt19937_64 m_engine;
};

} // namespace camphortide::standin
