#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <camphortide/coordination/group/failure_detector.hpp>
#include <camphortide/coordination/group/group_action.hpp>
#include <camphortide/coordination/group/group_settings.hpp>
#include <camphortide/coordination/group/group_view.hpp>
#include <camphortide/coordination/group/promotion.hpp>
#include <camphortide/coordination/group/switchover.hpp>

namespace camphortide::coordination
{

class group_monitor_builder;

/// Monitors one database group for one instance: stores the members' statuses,
/// detects the failure of the primary, promotes another member, and carries out
/// switchovers. Every home of the group runs one. It performs no input or
/// output and reads no clock: each input carries the time, and the result lists
/// the actions to perform. The times of the inputs must not decrease; tick has
/// to be called every few milliseconds.
class group_monitor
{
public:
    /// Handles a member's status, whatever reply it came with. Statuses of one
    /// stream have to be passed in the order of their arrival.
    group_actions status_received(state::member_status const& status,
                                  state::time_point now);

    /// Records that the connection to a member was lost.
    group_actions member_unreachable(std::string_view member,
                                     state::time_point now);

    /// Handles the reply to send_fence.
    /// @param term the requested term
    /// @param granted whether the member granted the term
    /// @param status the status in the reply
    /// @param now when the reply arrived
    group_actions fence_replied(state::term term, bool granted,
                                state::member_status const& status,
                                state::time_point now);

    /// Handles the reply to send_promote.
    group_actions promote_replied(state::term term, bool done,
                                  state::member_status const& status,
                                  state::time_point now);

    /// Handles the reply to send_follow.
    group_actions follow_replied(state::member_status const& status,
                                 state::time_point now);

    /// Performs all work that is due.
    group_actions tick(state::time_point now);

    /// Shortens the probe interval below that of the settings, down to
    /// m_min_probe_interval, to bound the age of answers more closely.
    /// @param interval the time between two probes, until the next call
    /// @param now the time of the call
    group_actions set_probe_interval(state::duration interval,
                                     state::time_point now);

    /// Starts a switchover, which ends with switchover_ended.
    /// @param target the member to promote; empty for any replica
    /// @param now the time of the call
    group_actions request_switchover(std::string_view target,
                                     state::time_point now);

    /// Cancels a switchover unless its promotion has begun.
    group_actions cancel_switchover(state::time_point now);

    /// Records that every write and transaction admitted before pause_writes
    /// has ended at every home.
    group_actions writes_drained(state::time_point now);

    /// @return the primary to use for writes; nothing while there is none or a
    ///     promotion of this instance is in progress
    std::optional<group_primary> const& primary() const { return m_announced; }

    /// @return the latest status of each member; term 0 if not received yet
    std::span<state::member_status const> statuses() const
    {
        return m_view.statuses();
    }

    /// @return the safe index of the primary's log; 0 without a primary
    std::uint64_t safe_index() const { return m_view.safe_index(); }

    /// @return the health of the primary according to the members' answers
    primary_health assess_primary(state::time_point now) const;

    /// @return the number of promotions started by this instance
    std::uint64_t promotions() const { return m_promotions; }

    group_view const& view() const { return m_view; }

private:
    friend class group_monitor_builder;

    explicit group_monitor(group_monitor_builder const& builder);

    void begin_input(state::time_point now);
    void note(state::member_status const& status, state::time_point now,
              group_actions& out);
    void evaluate(state::time_point now, group_actions& out);
    void announce(group_actions& out);
    void probe(state::time_point now, group_actions& out);
    void detect(state::time_point now, group_actions& out);
    void start_promotion(promotion_preference preference, state::time_point now,
                         group_actions& out);
    void advance_promotion(state::time_point now, group_actions& out);
    void start_switchover(std::string target, state::time_point now,
                          group_actions& out);
    void advance_switchover(state::time_point now, group_actions& out);
    void end_switchover(switchover_result result, group_actions& out);
    void start_required_switchover(state::time_point now, group_actions& out);
    std::optional<std::string> required_switchover(state::time_point now) const;
    void send_follow_requests(state::time_point now, group_actions& out);

    group_settings m_settings;
    std::string m_proposer;
    std::uint64_t m_tag;
    group_view m_view;
    failure_detector m_detector;
    jitter m_jitter;
    std::optional<promotion> m_promotion;
    std::optional<switchover> m_switchover;
    std::optional<group_primary> m_announced;
    state::term m_last_proposed;
    std::uint64_t m_promotions = 0;
    std::uint64_t m_probe = 0;
    std::optional<state::time_point> m_last_input;
    state::duration m_probe_interval;
    state::time_point m_probed_at{};
    state::time_point m_probe_at{};
    state::time_point m_follow_at{};
    state::time_point m_switchover_not_before{};
    std::optional<state::time_point> m_switchover_at;
};

} // namespace camphortide::coordination
