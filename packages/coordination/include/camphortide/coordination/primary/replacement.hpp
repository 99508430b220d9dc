#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <camphortide/coordination/primary/primary_permit.hpp>
#include <camphortide/state/fleet_records.hpp>
#include <camphortide/state/member_entry.hpp>

namespace camphortide::coordination
{

/// What an instance answered when it was asked to stop using a primary.
struct closing_answer
{
    std::int64_t m_born = 0;      ///< of the process that answered
    std::uint64_t m_revision = 0; ///< of the closing record that it obeys

    friend auto operator<=>(closing_answer const&,
                            closing_answer const&) = default;
};

/// A member of the group with its latest report.
struct reported_member
{
    state::member_entry m_entry;
    std::optional<state::member_report> m_report;
    state::time_point m_asked; ///< when the report was asked for

    friend auto operator<=>(reported_member const&,
                            reported_member const&) = default;
};

/// Why the present primary is to be replaced.
enum class replacement_reason
{
    none,
    lost,
    leaving ///< it still serves
};

/// All that the decision depends on.
struct replacement_facts
{
    state::stored<state::term_record> m_record;
    /// every registered instance, as of the record's revision or later
    std::map<std::string, state::stored<state::instance_entry>> m_instances;
    std::map<std::string, closing_answer> m_answers; ///< by instance
    std::vector<reported_member> m_members;
    std::uint32_t m_sync_replicas = 0;
    replacement_reason m_reason = replacement_reason::none;
    std::string m_avoid; ///< a member that others don't reach
    bool m_holds_duty = false;
    state::time_point m_now;
};

/// What the holder of the duty has to do.
struct replacement_action
{
    enum class kind
    {
        write_record, ///< m_record, at the revision of the facts' record
        ask_close,    ///< m_name: an instance
        promote,      ///< m_name: a member
        expel         ///< m_name: an instance that never answered
    };

    kind m_kind = kind::write_record;
    std::string m_name;
    state::term_record m_record;

    friend auto operator<=>(replacement_action const&,
                            replacement_action const&) = default;
};

/// How a promotion call ended, as far as the decision cares.
enum class promotion_result
{
    may_take_effect,
    nothing_done,
    member_cannot
};

/// Times of a replacement.
struct replacement_settings
{
    /// least pause between two tries of the same action
    state::duration m_retry{250};
    /// how long the reports of further members are waited for
    state::duration m_report_wait{250};
    /// how long an orderly change waits for a replica to hold everything
    state::duration m_catch_up_wait{1500};
    /// when a promotion that doesn't show is called again; several times the
    /// longest promotion of the sheets (1 s)
    state::duration m_promotion_wait{3000};
    /// how long a call of the duty's last holder may take to show: its time
    /// limit of half a second and the longest promotion of the sheets (1 s)
    state::duration m_takeover_wait{1500};
    /// how long a member that can't lead is left out
    state::duration m_leave_out{2000};
};

/// Replaces the primary of one group. Whoever holds the duty goes on from the
/// record in the store, whichever instance began.
///
/// A promotion is called only when nobody may use the old primary any more:
/// each registered instance answered that it stopped, or said so in its
/// record, or was replaced by a new process, or its permit has lapsed. A call
/// that may still take effect bars every other member and the old primary.
class replacement
{
public:
    explicit replacement(replacement_settings settings = {})
        : m_settings(settings)
    {
    }

    /// Decides what to do now.
    std::vector<replacement_action> step(replacement_facts const& facts);

    /// Notes that this instance wrote the record of a revision.
    void wrote(std::uint64_t revision) { m_own_revision = revision; }

    /// Takes the end of a promotion call.
    void promoted(std::string const& member, promotion_result result,
                  state::time_point now);

    /// @return the instances whose permits have not ended
    std::vector<std::string> unfinished(replacement_facts const& facts) const;

private:
    using actions = std::vector<replacement_action>;

    void follow_record(replacement_facts const& facts);
    void close_if_needed(replacement_facts const& facts, actions& into);
    bool open_new_primary(replacement_facts const& facts, actions& into);
    void end_permits(replacement_facts const& facts,
                     std::vector<std::string> const& missing, actions& into);
    void expel_silent(replacement_facts const& facts, actions& into);
    void choose(replacement_facts const& facts, actions& into);
    void call(std::string const& member, state::time_point now, actions& into);
    bool settled(state::time_point now) const;
    bool heard_enough(replacement_facts const& facts) const;
    bool fresh(reported_member const& member) const;
    bool reopen(replacement_facts const& facts, actions& into);
    reported_member const* candidate(replacement_facts const& facts) const;
    bool caught_up(replacement_facts const& facts,
                   reported_member const& chosen) const;
    bool ended(replacement_facts const& facts,
               state::instance_entry const& instance) const;
    bool due(std::string const& action, state::time_point now);
    void write(replacement_facts const& facts, state::term_record record,
               actions& into);

    replacement_settings m_settings;
    std::uint64_t m_revision = 0;
    state::time_point m_seen; ///< when the record's revision was first seen
    std::optional<state::time_point> m_clear; ///< when no permit was left
    std::uint64_t m_own_revision = 0; ///< last record that was written here
    /// a call that may take effect: the member, and when it was called
    std::string m_target;
    std::optional<state::time_point> m_called;
    std::map<std::string, state::time_point> m_left_out; ///< until then
    std::map<std::string, state::time_point> m_tried;    ///< by action
};

} // namespace camphortide::coordination
