#pragma once

#include <cstdint>
#include <string_view>

namespace camphortide::coordination
{

/// Mixes the bits of a number, so that similar numbers give unrelated results.
/// @param value any number
/// @return the mixed number
/// @see S. Vigna, splitmix64, the finalizer
constexpr std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/// Hashes a name, with the same result in every process.
/// @param name the name
/// @return its hash
/// @see G. Fowler, L. C. Noll, K.-P. Vo, FNV-1a with 64 bits
constexpr std::uint64_t hash_name(std::string_view name)
{
    std::uint64_t result = 0xcbf29ce484222325U;
    for (char const character : name)
    {
        result ^= static_cast<unsigned char>(character);
        result *= 0x100000001b3U;
    }
    return mix(result);
}

/// The score of an instance for a key. The instance with the highest score is
/// chosen.
/// @param key the hash of the key's name
/// @param instance the hash of the instance's name
/// @return the score
/// @see D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
///     Hit Rates", highest random weight
constexpr std::uint64_t rendezvous_score(std::uint64_t key,
                                         std::uint64_t instance)
{
    return mix(key ^ mix(instance + 0x9e3779b97f4a7c15U));
}

/// A pseudo-random sequence; the same seed gives the same numbers in every
/// process.
class seeded_sequence
{
public:
    /// @param seed the start of the sequence
    explicit constexpr seeded_sequence(std::uint64_t seed) : m_state(seed) {}

    /// @return the next number
    constexpr std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        return mix(m_state);
    }

    /// @param bound exclusive upper bound, above 0
    /// @return the next number, below the bound
    constexpr std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

private:
    std::uint64_t m_state;
};

} // namespace camphortide::coordination
