#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphortide::state
{

/// What a planned stop takes out of service.
enum class stop_kind
{
    instance, ///< an instance of the system
    member,   ///< one member of a group
    primary,  ///< the primary role of a member, which stays a replica
    endpoint  ///< all members on one host
};

/// Progress of a planned stop.
enum class stop_state
{
    planned,
    draining, ///< gets no new work; requests in flight finish
    done,     ///< nothing in flight; may be shut down
    cancelled ///< back in service
};

/// @return the kind's name as it is printed in reports
std::string_view to_string(stop_kind value);

/// @return the state's name as it is printed in reports
std::string_view to_string(stop_state value);

/// A stop planned by an operator. Stored as one object in the platform's store.
struct planned_stop
{
    std::string m_id;
    stop_kind m_kind = stop_kind::instance;
    std::string m_target; ///< name of an instance or member, or a host
    std::string m_group;  ///< group of a member or primary; else empty
    std::string m_operator;
    stop_state m_state = stop_state::planned;
    std::vector<std::string> m_drained; ///< groups already drained, sorted
    std::uint64_t m_created = 0; ///< store version at which it was created
    std::uint64_t m_object_version = 0; ///< store version of its latest write

    friend auto operator<=>(planned_stop const&, planned_stop const&) = default;
};

/// All planned stops, at one version of the store.
struct stop_list
{
    std::uint64_t m_version = 0;
    std::vector<planned_stop> m_stops;

    friend auto operator<=>(stop_list const&, stop_list const&) = default;
};

/// Checks whether the instances still have to act on a stop. A member or an
/// endpoint whose stop is done gets no new work until the stop is cancelled.
/// @param stop the stop
/// @return true if the stop is in force
constexpr bool is_in_force(planned_stop const& stop)
{
    bool const blocks_new_work =
        stop.m_kind == stop_kind::member || stop.m_kind == stop_kind::endpoint;
    return stop.m_state != stop_state::cancelled &&
           (blocks_new_work || stop.m_state != stop_state::done);
}

} // namespace camphortide::state
