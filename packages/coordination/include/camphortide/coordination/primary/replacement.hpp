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
    state::time_point m_requested_at; ///< when the report was asked for

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
        write_record,  ///< m_record, at the revision of the facts' record
        request_close, ///< m_name: an instance
        promote        ///< m_name: a member
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
    no_effect,
    member_unavailable
};

/// Times of a replacement.
struct replacement_settings
{
    /// least pause between two tries of the same action
    state::duration m_retry_interval{250};
    /// how long the reports of further members are waited for
    state::duration m_max_report_wait{250};
    /// how long an orderly change waits for a replica to hold everything
    state::duration m_max_catch_up_wait{1500};
    /// when a promotion that doesn't show is called again, or another member
    /// chosen; several times the longest promotion of members (1 s)
    state::duration m_promotion_timeout{3000};
    /// how long a call of the duty's last holder may take to show: its time
    /// limit of half a second and the longest promotion of members (1 s)
    state::duration m_takeover_delay{1500};
    /// how long a member that can't lead is left out
    state::duration m_cooldown{2000};
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
    void promotion_finished(std::string const& member, promotion_result result,
                            state::time_point now);

    /// @return the instances whose permits have not ended
    std::vector<std::string>
    instances_with_permit(replacement_facts const& facts) const;

private:
    using actions = std::vector<replacement_action>;

    void update_from_record(replacement_facts const& facts);
    void close_if_needed(replacement_facts const& facts, actions& result);
    bool claim_record(replacement_facts const& facts, actions& result);
    void request_closings(replacement_facts const& facts,
                          std::vector<std::string> const& missing,
                          actions& result);
    bool choose_target(replacement_facts const& facts, actions& result);
    void promote_target(replacement_facts const& facts, actions& result);
    bool target_failed(replacement_facts const& facts) const;
    void note_target_role(replacement_facts const& facts);
    /// @return true if the member leads by a call for this closing, and not
    ///     by one of long ago that others have superseded since
    bool leads_after_request(reported_member const& member) const;
    bool has_enough_reports(replacement_facts const& facts) const;
    bool is_fresh(reported_member const& member) const;
    bool reopen_old_primary(replacement_facts const& facts, actions& result);
    reported_member const* best_candidate(replacement_facts const& facts) const;
    bool has_caught_up(replacement_facts const& facts,
                       reported_member const& chosen) const;
    bool permit_ended(replacement_facts const& facts,
                      state::instance_entry const& instance) const;
    bool is_due(std::string const& action, state::time_point now);
    void write_open(replacement_facts const& facts, state::term_record record,
                    actions& result);
    void write(replacement_facts const& facts, state::term_record record,
               actions& result);

    replacement_settings m_settings;
    std::uint64_t m_revision = 0;
    bool m_closing = false; ///< the record, as last seen
    /// the record is closing at least since this revision, without a break
    std::uint64_t m_closing_since = 0;
    state::time_point m_closing_seen_at; ///< when that was first seen
    state::time_point
        m_claim_seen_at; ///< when this holder's token was first seen
    std::optional<state::time_point>
        m_permits_ended_at;         ///< when no permit was left
    std::string m_requested_member; ///< the member
    std::optional<state::time_point> m_last_request; ///< the last call
    std::optional<state::time_point>
        m_last_accepted;               ///< the last accepted call
    bool m_request_unresolved = false; ///< a call of unknown fate is out
    bool m_earlier_request_unresolved = false; ///< before the last call
    bool m_target_was_replica = false; ///< the target, before it was called for
    bool m_target_unavailable = false;
    /// a record that may be written, now or later: nothing else is done
    /// until the record changes
    std::optional<state::term_record> m_open_record;
    std::map<std::string, state::time_point> m_cooldown_until; ///< until then
    std::map<std::string, state::time_point> m_last_attempts;  ///< by action
};

} // namespace camphortide::coordination
