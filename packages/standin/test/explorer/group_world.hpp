#pragma once

#include "broken_rule.hpp"
#include "message_bag.hpp"
#include "promise_checker.hpp"
#include "schedule_random.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <camphortide/coordination/group/group_monitor.hpp>

namespace camphortide::standin
{

/// The members of a group, the messages between them and the homes, and what
/// may befall them. Nothing moves unless a schedule moves it.
class group_world
{
public:
    group_world(std::size_t members, std::uint64_t seed, broken_rule broken);

    /// Makes the first member primary, and the others its replicas.
    void lead_at_first();

    /// Sends a message; it arrives when a schedule delivers it.
    void send(message value);

    /// Delivers, loses or repeats a message that may arrive now.
    void move_message();

    /// Sends a stretch of a primary's log to another member.
    void replicate(std::size_t from, std::size_t to);

    /// Applies some of what a member received.
    void apply_some(std::size_t member);

    void crash(std::size_t member);
    void start(std::size_t member);
    void pause(party who) { m_paused.insert(who); }
    void wake(party who) { m_paused.erase(who); }
    void cut(party left, party right);
    /// Starts, wakes and connects everything.
    void heal();

    /// Notes that a member may have changed.
    void changed(std::size_t member);

    /// @return the status that a member reports
    state::member_status status(std::size_t member, std::uint64_t probe) const;

    /// @return a member's index by its name
    std::size_t index_of(std::string const& name) const;

    bool is_down(std::size_t member) const { return m_down[member]; }
    bool is_paused(party who) const { return m_paused.contains(who); }
    std::size_t size() const { return m_members.size(); }
    member_model& member(std::size_t index) { return m_members[index]; }
    std::vector<std::string> names() const;
    broken_rule broken() const { return m_broken; }
    void advance(state::duration span) { m_now += span; }
    state::time_point now() const { return m_now; }
    schedule_random& random() { return m_random; }
    promise_checker& checker() { return m_checker; }
    std::size_t in_flight() const { return m_bag.size(); }

    /// Notes an event of the schedule.
    void trace(std::string text);
    std::vector<std::string> const& events() const { return m_events; }
    bool m_tracing = false;
    bool m_reliable = false; ///< no message is lost or repeated

private:
    bool arrives(message const& value) const;
    bool is_dead(party who) const;
    bool is_cut(party left, party right) const;
    void deliver(message const& value);

    std::vector<member_model> m_members;
    std::vector<bool> m_down;
    std::vector<state::time_point> m_heard;
    std::vector<std::vector<std::uint64_t>> m_matched;
    std::set<party> m_paused;
    std::set<std::pair<party, party>> m_cuts;
    message_bag m_bag;
    schedule_random m_random;
    broken_rule m_broken;
    state::time_point m_now{};
    promise_checker m_checker;
    std::vector<std::string> m_events;
};

} // namespace camphortide::standin
