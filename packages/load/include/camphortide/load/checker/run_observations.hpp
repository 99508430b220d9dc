#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/load/checker/group_log.hpp>
#include <camphortide/load/history/request_record.hpp>

namespace camphortide::load
{

/// The statements that a leaving member had received at two times.
struct leaving_member_work
{
    std::string m_member;
    std::uint64_t m_statements_at_grace_end = 0;
    std::uint64_t m_statements_at_end = 0; ///< when the fault was reverted

    friend auto operator<=>(leaving_member_work const&,
                            leaving_member_work const&) = default;
};

/// A catalogue version that an instance began to use.
struct catalogue_adoption
{
    std::string m_instance; ///< a restarted instance has a new name
    std::uint64_t m_version = 0;
    run_time m_at{0};

    friend auto operator<=>(catalogue_adoption const&,
                            catalogue_adoption const&) = default;
};

/// When an instance was running.
struct instance_lifetime
{
    std::string m_instance; ///< named as in catalogue_adoption
    run_time m_from{0};
    std::optional<run_time> m_until; ///< nothing: until the end of the run

    friend auto operator<=>(instance_lifetime const&,
                            instance_lifetime const&) = default;
};

/// A change of the catalogue that was accepted.
struct accepted_change
{
    std::uint64_t m_version = 0;
    run_time m_accepted{0};
    run_time m_due{0}; ///< deadline for every instance to use it

    friend auto operator<=>(accepted_change const&,
                            accepted_change const&) = default;
};

/// A planned stop of an instance.
struct planned_drain
{
    std::string m_instance;
    bool m_clean = true; ///< no request was interrupted, by the
                         ///< instance's own report
    run_time m_from{0};  ///< when the stop was planned
    run_time m_until{0}; ///< when the instance had stopped

    friend auto operator<=>(planned_drain const&,
                            planned_drain const&) = default;
};

/// Two concurrent edits of one entry.
struct edit_race
{
    std::string m_entry;
    std::uint32_t m_accepted = 0; ///< number of accepted edits

    friend auto operator<=>(edit_race const&, edit_race const&) = default;
};

/// Everything that was observed of a run; the input of the checks.
struct run_observations
{
    history m_history;
    std::vector<group_log> m_group_logs;
    std::vector<leaving_member_work> m_leaving_members;
    std::vector<planned_drain> m_drains;
    std::vector<instance_lifetime> m_lifetimes;
    std::vector<catalogue_adoption> m_adoptions;
    std::vector<accepted_change> m_changes;
    std::vector<edit_race> m_races;
    run_time m_end{0};
    /// The run had no fault except planned stops.
    bool m_only_planned_faults = false;
};

} // namespace camphortide::load
