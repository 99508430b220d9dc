#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <camphortide/state/log_position.hpp>

namespace camphortide::state
{

/// The highest released position of one group in a session.
struct group_position
{
    std::string m_group;
    log_position m_position;

    friend auto operator<=>(group_position const&,
                            group_position const&) = default;
};

/// What a session has written and seen: for each group its highest released
/// position. Released positions are safe, so any two of one group lie in one
/// log, and the greater of them covers the other.
class session_token
{
public:
    static constexpr std::size_t max_groups = 64;
    static constexpr std::size_t max_group_name_bytes = 64;

    session_token() = default;

    /// @param positions any order; of one group the greatest counts
    /// @param complete false if positions of other groups were left out
    explicit session_token(std::vector<group_position> positions,
                           bool complete = true);

    /// @return the group's position; nothing if the token does not name it
    std::optional<log_position> find(std::string_view group) const;

    /// Adds a released position.
    /// @return a token that covers this one and the position. Beyond
    ///     max_groups, or for a name beyond max_group_name_bytes, a position
    ///     is left out and the token is no longer complete
    session_token advanced(std::string_view group,
                           log_position const& position) const;

    /// @return a token that covers both, by the maximum of each group
    session_token merged(session_token const& other) const;

    /// @return the positions, rising by group name
    std::vector<group_position> const& positions() const { return m_positions; }

    /// Tells whether a group that the token does not name was never used in
    /// the session.
    /// @return false if positions were left out; a group that the token does
    ///     not name then needs a current read
    bool complete() const { return m_complete; }

    friend auto operator<=>(session_token const&,
                            session_token const&) = default;

private:
    void enforce_bounds();

    std::vector<group_position> m_positions;
    bool m_complete = true;
};

} // namespace camphortide::state
