#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include <camphortide/state/store_revision.hpp>
#include <camphortide/state/term_history.hpp>

namespace camphortide::state
{

/// Whether requests may use a group's primary.
enum class term_phase
{
    open,
    closing ///< no new use of the primary may begin
};

/// The primary of a group, as recorded in the platform's store.
struct term_record
{
    std::string m_group;
    std::uint64_t m_term = 0; ///< term of the primary's log
    std::string m_primary;    ///< member id
    term_phase m_phase = term_phase::open;
    /// in the closing phase: the primary still serves, so that requests in
    /// flight may finish
    bool m_orderly = false;
    std::uint64_t m_token = 0; ///< fencing token of the writing duty holder
    /// in the closing phase: the member whose promotion may have been
    /// requested; empty: none was requested
    std::string m_target;
    /// of the primary's log; not known if it doesn't describe m_term
    term_history m_history{};

    friend auto operator<=>(term_record const&, term_record const&) = default;
};

/// An instance that may use primaries, as recorded in the platform's store.
struct instance_entry
{
    std::string m_name;
    /// Unix milliseconds; distinguishes processes of the same name
    std::int64_t m_start_time = 0;
    std::string m_address; ///< HOST:PORT for other instances
    std::string m_data_centre;
    bool m_expelled = false; ///< gets no permit until it registers again
    /// by group: revision of the closing term record that the instance has
    /// acknowledged and complies with
    std::map<std::string, store_revision> m_acknowledged_closings;
    std::string m_forwarding_address; ///< HOST:PORT for forwarded statements

    friend auto operator<=>(instance_entry const&,
                            instance_entry const&) = default;
};

/// The instance that is responsible for replacing primaries, as recorded in the
/// platform's store.
struct duty_record
{
    std::string m_holder;          ///< instance name; empty: released
    std::int64_t m_start_time = 0; ///< of the holder, Unix milliseconds
    std::uint64_t m_token = 0; ///< fencing token; rises with each new holder
    std::uint64_t m_renewals = 0;
    /// Every permit to use a primary that was given in an earlier era of the
    /// store has lapsed.
    bool m_earlier_permits_lapsed = false;

    friend auto operator<=>(duty_record const&, duty_record const&) = default;
};

/// The members of a group that may have acknowledged commits, as recorded in
/// the platform's store. Unlike their own entries, this record doesn't lapse.
struct recorded_members
{
    std::string m_group;
    std::uint64_t m_token = 0; ///< fencing token of the writing duty holder
    std::map<std::string, std::string> m_addresses; ///< HOST:PORT, by member id

    friend auto operator<=>(recorded_members const&,
                            recorded_members const&) = default;
};

/// A record with the store's revision of its last write.
template <typename Record>
struct stored
{
    Record m_record;
    store_revision m_revision;

    friend auto operator<=>(stored const&, stored const&) = default;
};

/// The records that the system keeps in the platform's store, at one revision
/// of the store.
struct fleet_records
{
    std::map<std::string, stored<term_record>> m_terms;        ///< by group
    std::map<std::string, stored<instance_entry>> m_instances; ///< by name
    /// By group; only of groups whose replicas acknowledge commits.
    std::map<std::string, stored<recorded_members>> m_members;
    std::optional<stored<duty_record>> m_duty;
    std::uint64_t m_era = 0; ///< of the store

    friend auto operator<=>(fleet_records const&,
                            fleet_records const&) = default;
};

} // namespace camphortide::state
