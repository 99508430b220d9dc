#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace camphortide::state
{

/// Whether a group's primary may be used.
enum class term_phase
{
    open,
    closing ///< nobody may begin to use the primary
};

/// Who is the primary of a group, kept in the store.
struct term_record
{
    std::string m_group;
    std::uint64_t m_term = 0; ///< of the primary's log
    std::string m_primary;    ///< the member's id
    term_phase m_phase = term_phase::open;
    /// of a closing: the primary still serves, what is in flight may end
    bool m_orderly = false;
    std::uint64_t m_token = 0; ///< of the duty's holder that wrote it
    /// of a closing: the member whose promotion may have been called; empty:
    /// none was
    std::string m_target;

    friend auto operator<=>(term_record const&, term_record const&) = default;
};

/// An instance that may use primaries, kept in the store.
struct instance_entry
{
    std::string m_name;
    std::int64_t m_start_time = 0; ///< tells two processes of one name apart
    std::string m_address;         ///< host:port for other instances
    std::string m_data_centre;
    bool m_expelled = false; ///< gets no new permit until it registers anew
    /// revisions of the closing records that it obeys, by group
    std::map<std::string, std::uint64_t> m_acknowledged_closings;
    std::string m_forwarding_address; ///< host:port for their statements

    friend auto operator<=>(instance_entry const&,
                            instance_entry const&) = default;
};

/// Who replaces primaries, kept in the store.
struct duty_record
{
    std::string m_holder; ///< an instance's name; empty: released
    std::int64_t m_start_time = 0;
    std::uint64_t m_token = 0; ///< rises with each change of holder
    std::uint64_t m_renewals = 0;

    friend auto operator<=>(duty_record const&, duty_record const&) = default;
};

/// A record with the store's revision of its last change.
template <typename Record>
struct stored
{
    Record m_record;
    std::uint64_t m_revision = 0;

    friend auto operator<=>(stored const&, stored const&) = default;
};

/// The system's own records, as of one revision of the store.
struct fleet_records
{
    std::map<std::string, stored<term_record>> m_terms;        ///< by group
    std::map<std::string, stored<instance_entry>> m_instances; ///< by name
    std::optional<stored<duty_record>> m_duty;

    friend auto operator<=>(fleet_records const&,
                            fleet_records const&) = default;
};

} // namespace camphortide::state
