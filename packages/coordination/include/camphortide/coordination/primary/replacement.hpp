#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/primary/choice_obstacle.hpp>
#include <camphortide/coordination/primary/primary_permit.hpp>
#include <camphortide/state/fleet_records.hpp>
#include <camphortide/state/member_entry.hpp>

namespace camphortide::coordination
{

/// An instance's answer to the request to stop using a primary.
struct closing_answer
{
    /// Start time of the process that answered.
    std::int64_t m_start_time = 0;
    /// Revision of the closing record that the instance acted on.
    state::store_revision m_revision;

    friend auto operator<=>(closing_answer const&,
                            closing_answer const&) = default;
};

/// A member of the group with its latest report.
struct reported_member
{
    state::member_entry m_entry;
    std::optional<state::member_report> m_report;
    /// When the report was requested.
    state::time_point m_requested_at;
    /// It has an entry in the store. Without one it may have acknowledged
    /// commits, but serves nobody.
    bool m_registered = true;

    friend auto operator<=>(reported_member const&,
                            reported_member const&) = default;
};

/// Why the primary is to be replaced.
enum class replacement_reason
{
    none,
    lost,
    /// It is leaving the group but still serves.
    leaving
};

/// The inputs of a decision.
struct replacement_facts
{
    state::stored<state::term_record> m_record;
    /// Every registered instance, as of the record's revision or later. This
    /// and the following two are read only while the record is closing.
    std::map<std::string, state::stored<state::instance_entry>> m_instances;
    /// Answers by instance name.
    std::map<std::string, closing_answer> m_answers;
    /// When each expelled instance was first seen expelled; it has got no
    /// permit since.
    std::map<std::string, state::time_point> m_expelled;
    /// Until then, instances that aren't registered may have permits: their
    /// registrations were lost when the store came back from a copy.
    state::time_point m_unregistered_permits_until;
    /// The registered members and, if replicas acknowledge commits, the lapsed
    /// ones that may have commits which no registered member is known to have.
    std::vector<reported_member> m_members;
    /// Which members the group has had is known. A process that has just
    /// started doesn't know it without a record.
    bool m_members_known = true;
    std::uint32_t m_sync_replicas = 0; ///< that acknowledge each commit
    replacement_reason m_reason = replacement_reason::none;
    /// A member that other instances can't reach; it isn't reopened as the
    /// primary.
    std::string m_avoid;
    bool m_holds_duty = false;
    /// Token of the duty, if it is held.
    std::uint64_t m_token = 0;
    /// No promotion request with another token may still arrive.
    bool m_may_promote = true;
    state::time_point m_now;
};

/// An action that the holder of the duty has to execute.
struct replacement_action
{
    enum class kind
    {
        /// Writes m_record, if the stored record still has the revision in the
        /// facts.
        write_record,
        /// Requests the instance m_name to stop using the primary.
        request_close,
        /// Requests the promotion of the member m_name.
        promote,
        /// Reports that the member m_name was chosen although its log isn't
        /// known to be part of the last term's log: what was acknowledged in
        /// that term is given up.
        report_given_up_term
    };

    kind m_kind = kind::write_record;
    std::string m_name;
    state::term_record m_record;

    friend auto operator<=>(replacement_action const&,
                            replacement_action const&) = default;
};

/// Result of a promotion request.
enum class promotion_result
{
    /// It takes effect within the maximum duration of a promotion.
    accepted,
    /// It may still take effect.
    unknown,
    /// It wasn't executed and won't be.
    no_effect,
    /// The member can't become the primary.
    member_unavailable
};

/// Timing of a replacement.
struct replacement_settings
{
    /// Minimum interval between two attempts of the same action.
    state::duration m_retry_interval{250};
    /// Maximum interval between two requests to one instance to stop using the
    /// primary. The interval doubles with each request: an instance that
    /// doesn't answer is probably unreachable, and there may be many of them.
    state::duration m_max_close_interval{2000};
    /// Maximum wait for the reports of further members.
    state::duration m_max_report_wait{250};
    /// Maximum wait of an orderly change for a replica with the whole log.
    state::duration m_max_catch_up_wait{1500};
    /// A promotion that hasn't taken effect after this time is requested again,
    /// or another member is chosen. Several times the maximum duration of a
    /// promotion (1 s).
    state::duration m_promotion_timeout{3000};
    /// A request of the previous holder of the duty may still take effect
    /// within this time: the request's timeout (500 ms) plus the maximum
    /// duration of a promotion (1 s).
    state::duration m_takeover_delay{1500};
    /// How long a member that couldn't become the primary is skipped.
    state::duration m_cooldown{2000};
    /// Maximum wait, from when the record was first seen closing, for a member
    /// whose log is part of the last term's log.
    state::duration m_max_log_wait{10000};
};

/// Replaces the primary of one group. The steps are kept in the term record in
/// the store: whichever instance holds the duty continues from there, whichever
/// instance began.
///
/// A promotion is requested only when no instance may use the old primary any
/// more: each registered instance has answered that it stopped, or has
/// confirmed it in its own record, or was replaced by a new process, or its
/// permit has lapsed. The target member is written into the record first, so
/// that every later holder knows which member may become the primary. No
/// request is sent while one of a previous holder may still arrive. The record
/// of a term has the history of its primary's log, so that a member with
/// commits that a promotion discarded can be told from one that may continue
/// the term. A new holder first writes its token into a closing record:
/// outstanding conditional writes of its predecessor then fail. While the write
/// of an open record may be outstanding, nothing else is done.
///
/// A record of an earlier era of the store shows some time before the store
/// came back from a copy. It is written again when every member has reported
/// and one of them leads. Otherwise, once all permits of earlier eras have
/// lapsed, a member is promoted, as a promotion that the record lacks may be
/// known to no other member.
class replacement
{
public:
    explicit replacement(replacement_settings settings = {})
        : m_settings(settings)
    {
    }

    /// @return the actions to execute now; none without the duty
    std::vector<replacement_action> step(replacement_facts const& facts);

    /// Processes the result of a promotion request.
    void promotion_finished(std::string const& member, promotion_result result,
                            state::time_point now);

    /// @return the instances that may still use the old primary
    std::vector<std::string>
    instances_with_permit(replacement_facts const& facts) const;

    /// @return why no member could be chosen when the last step tried
    choice_obstacle obstacle() const { return m_obstacle; }

private:
    using actions = std::vector<replacement_action>;

    void update_from_record(replacement_facts const& facts);
    void close_if_needed(replacement_facts const& facts, actions& result);
    void restore_record(replacement_facts const& facts, actions& result);
    /// @return the member that all members' reports show as the primary;
    ///     nullptr if a report is missing or none is
    reported_member const* agreed_primary(replacement_facts const& facts,
                                          state::time_point after) const;
    bool claim_record(replacement_facts const& facts, actions& result);
    void request_closings(replacement_facts const& facts,
                          std::vector<std::string> const& missing,
                          actions& result);
    bool choose_target(replacement_facts const& facts, actions& result);
    /// Reports a member that is chosen with any log, once for each closing.
    void report_given_up_term(std::string const& member, actions& result);
    /// Completes the history of an open record from the primary's report: a
    /// record of an earlier program version lacks it.
    static void complete_history(replacement_facts const& facts,
                                 state::term_record& record);
    void promote_target(replacement_facts const& facts, actions& result);
    bool target_failed(replacement_facts const& facts) const;
    void note_target_role(replacement_facts const& facts);
    /// @return true if the member was promoted for this closing, and doesn't
    ///     only still lead an older term that others have superseded
    bool leads_after_request(reported_member const& member) const;
    bool is_fresh(reported_member const& member) const;
    bool reopen_old_primary(replacement_facts const& facts, actions& result);
    bool has_caught_up(replacement_facts const& facts,
                       reported_member const& chosen) const;
    bool permit_ended(replacement_facts const& facts,
                      state::instance_entry const& instance) const;
    bool is_due(std::string const& action, state::time_point now);
    bool close_is_due(std::string const& instance,
                      replacement_facts const& facts);
    void write_open(replacement_facts const& facts, state::term_record record,
                    actions& result);
    void write(replacement_facts const& facts, state::term_record record,
               actions& result);

    replacement_settings m_settings;
    state::store_revision m_revision;
    /// Whether the record was closing when last seen.
    bool m_closing = false;
    /// The record has been closing without interruption since this revision, or
    /// longer.
    state::store_revision m_closing_since;
    /// When that revision was first seen.
    state::time_point m_closing_seen_at;
    /// When this holder's token was first seen in the record.
    state::time_point m_claim_seen_at;
    /// When no instance had a permit any more.
    std::optional<state::time_point> m_permits_ended_at;
    /// The member of the last promotion request.
    std::string m_requested_member;
    /// Time of the last promotion request.
    std::optional<state::time_point> m_last_request;
    /// When the last request was accepted.
    std::optional<state::time_point> m_last_accepted;
    /// A request's result is unknown; it may still take effect.
    bool m_request_unresolved = false;
    /// m_request_unresolved as it was before the last request.
    bool m_earlier_request_unresolved = false;
    /// The target was seen as a replica before the request.
    bool m_target_was_replica = false;
    bool m_target_unavailable = false;
    choice_obstacle m_obstacle = choice_obstacle::none;
    /// The member for which the closed term was given up, once reported.
    std::string m_given_up_for;
    /// An open record whose write may be outstanding: nothing else is done
    /// until the record changes.
    std::optional<state::term_record> m_open_record;
    /// End of the cooldown, by member.
    std::map<std::string, state::time_point> m_cooldown_until;
    /// By action.
    std::map<std::string, state::time_point> m_last_attempts;

    struct close_request
    {
        state::duration m_interval{};
        state::time_point m_next;
        /// Of the instance's record.
        state::store_revision m_revision;
    };

    /// Requests to stop using the primary, by instance.
    std::map<std::string, close_request> m_close_requests;
};

} // namespace camphortide::coordination
