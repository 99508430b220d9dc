#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace camphortide::state
{

/// A revision of the platform's store. A store that comes back from an older
/// copy begins a new era, in which it gives out revision numbers again, so
/// revisions are ordered by their era first.
class store_revision
{
public:
    /// Makes a revision that is before all others.
    constexpr store_revision() = default;

    /// @param number as the store counts it, above 0
    /// @param era of the store; 0 for a store that doesn't name its era
    constexpr store_revision(std::uint64_t number, std::uint64_t era = 0)
        : m_era(era),
          m_number(number)
    {
    }

    constexpr std::uint64_t era() const { return m_era; }
    constexpr std::uint64_t number() const { return m_number; }

    friend constexpr auto operator<=>(store_revision const&,
                                      store_revision const&) = default;

private:
    std::uint64_t m_era = 0;
    std::uint64_t m_number = 0;
};

/// @return the revision as it is printed in logs: NUMBER, or ERA:NUMBER if the
///     store names its era
inline std::string to_string(store_revision const& revision)
{
    auto const number = std::to_string(revision.number());
    return revision.era() == 0 ? number
                               : std::to_string(revision.era()) + ':' + number;
}

} // namespace camphortide::state
