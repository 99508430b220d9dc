#pragma once

#include <compare>
#include <cstdint>

namespace camphortide::state
{

/// Numbers the periods in which a database group has one primary. The low bits
/// hold the proposer's tag, so that two proposers never propose the same term.
class term
{
public:
    static constexpr unsigned tag_bits = 20;

    constexpr term() = default;
    constexpr explicit term(std::uint64_t value) : m_value(value) {}

    /// @return the number; 0: before the first term
    constexpr std::uint64_t value() const { return m_value; }

    /// Computes a proposer's term in the next round.
    /// @param tag identifies the proposer; its low tag_bits are used
    /// @return the term; greater than this one
    constexpr term next(std::uint64_t tag) const
    {
        constexpr std::uint64_t mask = (std::uint64_t{1} << tag_bits) - 1;
        return term((((m_value >> tag_bits) + 1) << tag_bits) | (tag & mask));
    }

    friend constexpr auto operator<=>(term, term) = default;

private:
    std::uint64_t m_value = 0;
};

} // namespace camphortide::state
