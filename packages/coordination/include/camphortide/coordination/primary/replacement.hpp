#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
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
    std::int64_t m_start_time = 0; ///< of the process that answered
    std::uint64_t m_revision = 0;  ///< of the closing record that it obeys

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
    /// since when instances were seen expelled: they got no permit since
    std::map<std::string, state::time_point> m_expelled;
    std::vector<reported_member> m_members;
    std::uint32_t m_sync_replicas = 0;
    replacement_reason m_reason = replacement_reason::none;
    std::string m_avoid; ///< a member that others don't reach
    bool m_holds_duty = false;
    std::uint64_t m_token = 0; ///< of the duty, if it is held
    state::time_point m_now;
};

/// What the holder of the duty has to do.
struct replacement_action
{
    enum class kind
    {
        write_record, ///< m_record, at the revision of the facts' record
        ask_close,    ///< m_name: an instance
        promote       ///< m_name: a member
    };

    kind m_kind = kind::write_record;
    std::string m_name;
    state::term_record m_record;

    friend auto operator<=>(replacement_action const&,
                            replacement_action const&) = default;
};

/// How a promotion call ended.
enum class promotion_result
{
    accepted, ///< it takes effect within the longest promotion
    unknown,  ///< it may take effect
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
    /// when a promotion that doesn't show is called again, or another member
    /// chosen; several times the longest promotion of members (1 s)
    state::duration m_promotion_wait{3000};
    /// how long a call of the duty's last holder may take to show: its time
    /// limit of half a second and the longest promotion of members (1 s)
    state::duration m_takeover_wait{1500};
    /// how long a member that can't lead is left out
    state::duration m_leave_out{2000};
};

/// Replaces the primary of one group. Whoever holds the duty goes on from the
/// record in the store, whichever instance began.
///
/// A promotion is called only when nobody may use the old primary any more:
/// each registered instance answered that it stopped, or said so in its
/// record, or was replaced by a new process, or its permit has lapsed. The
/// member is written into the record before, so that every later holder knows
/// which member may come to lead. A new holder first writes its token into a
/// closing record: what its predecessor has under way to the store then fails
/// by its condition. A record that may still be written bars everything else.
class replacement
{
public:
    explicit replacement(replacement_settings settings = {})
        : m_settings(settings)
    {
    }

    /// Decides what to do now.
    std::vector<replacement_action> step(replacement_facts const& facts);

    /// Takes the end of a promotion call.
    void promoted(std::string const& member, promotion_result result,
                  state::time_point now);

    /// @return the instances whose permits have not ended
    std::vector<std::string> unfinished(replacement_facts const& facts) const;

private:
    using actions = std::vector<replacement_action>;

    void follow_record(replacement_facts const& facts);
    void close_if_needed(replacement_facts const& facts, actions& into);
    bool claim(replacement_facts const& facts, actions& into);
    void end_permits(replacement_facts const& facts,
                     std::vector<std::string> const& missing, actions& into);
    bool choose_target(replacement_facts const& facts, actions& into);
    void promote_target(replacement_facts const& facts, actions& into);
    bool target_failed(replacement_facts const& facts) const;
    void note_target_before(replacement_facts const& facts);
    /// @return true if the member leads by a call for this closing, and not
    ///     by one of long ago that others have superseded since
    bool leads_by_call(reported_member const& member) const;
    bool heard_enough(replacement_facts const& facts) const;
    bool fresh(reported_member const& member) const;
    bool reopen(replacement_facts const& facts, actions& into);
    reported_member const* candidate(replacement_facts const& facts) const;
    bool caught_up(replacement_facts const& facts,
                   reported_member const& chosen) const;
    bool ended(replacement_facts const& facts,
               state::instance_entry const& instance) const;
    bool due(std::string const& action, state::time_point now);
    void open(replacement_facts const& facts, state::term_record record,
              actions& into);
    void write(replacement_facts const& facts, state::term_record record,
               actions& into);

    replacement_settings m_settings;
    std::uint64_t m_revision = 0;
    bool m_closing = false; ///< the record, as last seen
    /// the record is closing at least since this revision, without a break
    std::uint64_t m_closing_since = 0;
    state::time_point m_seen;    ///< when that was first seen
    state::time_point m_claimed; ///< when this holder's token was first seen
    std::optional<state::time_point> m_clear;    ///< when no permit was left
    std::string m_called_for;                    ///< the member
    std::optional<state::time_point> m_called;   ///< the last call
    std::optional<state::time_point> m_accepted; ///< the last accepted call
    bool m_uncertain = false;     ///< a call of unknown fate is out
    bool m_was_uncertain = false; ///< before the last call
    bool m_was_replica = false;   ///< the target, before it was called for
    bool m_target_cannot = false;
    /// a record that may be written, now or later: nothing else is done
    /// until the record changes
    std::optional<state::term_record> m_opening;
    std::map<std::string, state::time_point> m_left_out; ///< until then
    std::map<std::string, state::time_point> m_tried;    ///< by action
};

} // namespace camphortide::coordination
