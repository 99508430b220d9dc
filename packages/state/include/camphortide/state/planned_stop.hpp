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
    primary,  ///< the primary's part of a member, which stays as a replica
    endpoint  ///< every member on one host
};

/// How far a planned stop is.
enum class stop_state
{
    planned,
    draining, ///< gets no new work; what is in flight ends
    done,     ///< nothing is in flight; may be switched off
    cancelled ///< may be used again
};

/// @return the kind's name as reports print it
std::string_view to_string(stop_kind value);

/// @return the state's name as reports print it
std::string_view to_string(stop_state value);

/// A stop that an operator planned: one object in the platform's store.
struct planned_stop
{
    std::string m_id;
    stop_kind m_kind = stop_kind::instance;
    std::string m_target; ///< name of an instance or a member, or a host
    std::string m_group;  ///< of a member or a primary; else empty
    std::string m_operator;
    stop_state m_state = stop_state::planned;
    std::vector<std::string> m_drained; ///< groups that are done, sorted
    std::uint64_t m_created = 0;        ///< the store's version at the creation
    std::uint64_t m_object_version = 0; ///< the store's version now

    friend auto operator<=>(planned_stop const&, planned_stop const&) = default;
};

/// All planned stops at one version of the store.
struct stop_list
{
    std::uint64_t m_version = 0;
    std::vector<planned_stop> m_stops;

    friend auto operator<=>(stop_list const&, stop_list const&) = default;
};

/// Tells whether a stop still asks something of the instances. A member or an
/// endpoint that is done gets no new work until the stop is cancelled.
/// @param stop the stop
/// @return true if it does
constexpr bool is_in_force(planned_stop const& stop)
{
    bool const blocks_new_work =
        stop.m_kind == stop_kind::member || stop.m_kind == stop_kind::endpoint;
    return stop.m_state != stop_state::cancelled &&
           (blocks_new_work || stop.m_state != stop_state::done);
}

} // namespace camphortide::state
