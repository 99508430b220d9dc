#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <camphortide/coordination/group/group_monitor.hpp>
#include <camphortide/coordination/group/group_monitor_builder.hpp>
#include <camphortide/standin/member_model.hpp>

namespace camphortide::standin
{

/// Group monitors over member models on a manual clock: messages take a
/// whole number of milliseconds and arrive in order of time.
class manual_clock_group
{
public:
    /// @param members size of the group; names a, b, c, ...
    /// @param monitors number of homes; names 0, 1, ...
    manual_clock_group(std::size_t members, std::size_t monitors,
                       std::uint64_t seed = 1,
                       coordination::group_settings const& settings = {});

    /// Runs the clock on.
    void run(state::duration span);

    /// Runs until a condition holds.
    /// @return false if it did not within the limit
    bool run_until(std::function<bool()> const& condition,
                   state::duration limit);

    /// Stops a member; it keeps its log and its granted term.
    /// @param unresponsive its connections are not seen to break
    void kill(std::size_t member, bool unresponsive = false);
    /// Starts a stopped member again, fenced.
    void start(std::size_t member);
    /// Tells a monitor that its connection to a member broke.
    void break_connection(std::size_t monitor, std::size_t member);
    /// Cuts or heals all links between a monitor and a member.
    void cut_monitor(std::size_t monitor, std::size_t member, bool cut);
    /// Cuts or heals the replication links between two members.
    void cut_members(std::size_t left, std::size_t right, bool cut);
    /// Stops or wakes a monitor; messages for it wait meanwhile.
    void pause(std::size_t monitor, bool paused);
    /// Ends a monitor for good.
    void end(std::size_t monitor) { m_ended.insert(monitor); }

    /// Writes through the primary that a monitor announces.
    /// @return true if the primary took the write
    bool write(std::size_t monitor, std::string const& key);

    /// @return the member that is primary in the highest term, or nothing
    std::optional<std::size_t> current_primary() const;
    /// @return true if a term never had two primaries
    bool one_primary_per_term() const { return m_one_primary_per_term; }
    /// @return true if every running monitor announces the current_primary
    bool monitors_agree() const;
    std::uint64_t promotions() const;

    void apply(std::size_t monitor, coordination::group_actions const& actions);

    coordination::group_monitor& monitor(std::size_t index)
    {
        return m_monitors[index];
    }
    member_model& member(std::size_t index) { return m_members[index]; }
    state::time_point now() const { return m_now; }

    std::vector<bool> m_leaving;
    state::duration m_latency{1};
    bool m_replicating = true;
    /// Drop a message to or from a member if they return true.
    std::function<bool(std::size_t monitor,
                       coordination::group_action const& action)>
        m_drop_request;
    std::function<bool(std::size_t monitor,
                       coordination::group_action const& action)>
        m_drop_reply;
    std::vector<coordination::switchover_ended> m_ended_switchovers;
    std::vector<bool> m_writes_paused;
    bool m_drain_immediately = true;

private:
    void step();
    void replicate();
    void replicate_to(std::size_t from, std::size_t to);
    void deliver(std::size_t monitor, std::function<void()> task);
    state::member_status status(std::size_t member, std::uint64_t probe) const;
    std::size_t index_of(std::string const& member) const;
    bool reachable(std::size_t monitor, std::size_t member) const;
    /// Tells every monitor that a member's status changed.
    void push_status(std::size_t member);
    template <class Request>
    void perform(std::size_t monitor, Request const& action);
    void handle(std::size_t monitor, std::size_t member,
                coordination::send_probe const& action);
    void handle(std::size_t monitor, std::size_t member,
                coordination::send_fence const& action);
    void handle(std::size_t monitor, std::size_t member,
                coordination::send_promote const& action);
    void handle(std::size_t monitor, std::size_t member,
                coordination::send_follow const& action);

    void record_primaries();

    state::time_point m_now{};
    bool m_one_primary_per_term = true;
    std::map<state::term, std::size_t> m_primaries;
    std::vector<member_model> m_members;
    std::vector<coordination::group_monitor> m_monitors;
    std::vector<bool> m_down;
    std::vector<state::time_point> m_last_primary_contact;
    std::set<std::pair<std::size_t, std::size_t>> m_cut_monitors;
    std::set<std::pair<std::size_t, std::size_t>> m_cut_members;
    std::set<std::size_t> m_paused;
    std::set<std::size_t> m_ended;
    std::vector<std::vector<std::function<void()>>> m_deferred;
    std::multimap<state::time_point, std::function<void()>> m_events;
};

} // namespace camphortide::standin
