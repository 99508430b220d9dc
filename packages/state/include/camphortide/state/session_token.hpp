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

/// The highest position of one group's log that was released to a session.
struct group_position
{
    std::string m_group;
    log_position m_position;

    friend auto operator<=>(group_position const&,
                            group_position const&) = default;
};

/// Records what a session has written and read: the highest released position
/// of each group. Released positions are safe, so any two positions of one
/// group are in the same log, and the greater one covers the other.
class session_token
{
public:
    static constexpr std::size_t max_groups = 64;
    static constexpr std::size_t max_group_name_bytes = 64;

    session_token() = default;

    /// @param positions in any order; the greatest of each group is kept
    /// @param complete false if positions of other groups were left out
    explicit session_token(std::vector<group_position> positions,
                           bool complete = true);

    /// @return the group's position; empty if the token has none
    std::optional<log_position> find(std::string_view group) const;

    /// Adds a released position.
    /// @return a token that covers this token and the position. If there are
    ///     more than max_groups groups, or the name is longer than
    ///     max_group_name_bytes, one position is left out and the token is
    ///     no longer complete
    session_token advanced(std::string_view group,
                           log_position const& position) const;

    /// @return a token that covers both: the greater position of each group
    session_token merged(session_token const& other) const;

    /// @return the positions, in ascending order of group name
    std::vector<group_position> const& positions() const { return m_positions; }

    /// Checks whether the token covers every group that the session used.
    /// @return false if positions were left out; a group that is missing from
    ///     the token then requires a current read
    bool complete() const { return m_complete; }

    friend auto operator<=>(session_token const&,
                            session_token const&) = default;

private:
    void enforce_bounds();

    std::vector<group_position> m_positions;
    bool m_complete = true;
};

} // namespace camphortide::state
