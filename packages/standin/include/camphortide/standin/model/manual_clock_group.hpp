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

/// Simulates a group and the homes that monitor it on a manual clock: group
/// monitors exchange messages with member models. A message arrives m_latency
/// after it is sent.
class manual_clock_group
{
public:
    /// @param members number of members, named a, b, c, ...
    /// @param monitors number of homes, each with a monitor
    manual_clock_group(std::size_t members, std::size_t monitors,
                       std::uint64_t seed = 1,
                       coordination::group_settings const& settings = {});

    /// Advances the clock.
    void run(state::duration span);

    /// Advances the clock until a condition holds.
    /// @return false if it does not hold within the limit
    bool run_until(std::function<bool()> const& condition,
                   state::duration limit);

    /// Stops a member, which keeps its log and its granted term.
    /// @param unresponsive monitors are not notified of broken connections
    void kill(std::size_t member, bool unresponsive = false);
    /// Starts a stopped member as fenced.
    void start(std::size_t member);
    /// Notifies a monitor that its connection to a member broke.
    void break_connection(std::size_t monitor, std::size_t member);
    /// Cuts or restores the network between a monitor and a member.
    void cut_monitor(std::size_t monitor, std::size_t member, bool cut);
    /// Cuts or restores the replication between two members.
    void cut_members(std::size_t left, std::size_t right, bool cut);
    /// Pauses or resumes a monitor; messages for it are queued meanwhile.
    void pause(std::size_t monitor, bool paused);
    /// Stops a monitor permanently.
    void end(std::size_t monitor) { m_ended.insert(monitor); }

    /// Adds 1 to a key at the primary that a monitor reports.
    /// @return true if the primary accepted the write
    bool write(std::size_t monitor, std::string const& key);

    /// @return the running primary of the highest term, or nothing
    std::optional<std::size_t> current_primary() const;
    /// @return true if no term had two primaries
    bool one_primary_per_term() const { return m_one_primary_per_term; }
    /// @return true if there is a primary and every running monitor reports its
    ///     term
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
    /// Return true to drop a request to a member, or the reply to it.
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
    /// Sends a member's status to every monitor that can reach it.
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
