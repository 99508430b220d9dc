#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

#include <camphortide/standin/member_model.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::standin
{

/// A rule that a test breaks on purpose, to show that the checks see it.
enum class broken_request_rule
{
    none,
    acknowledge_unsafe,
    release_unsafe,
    ignore_token,
    sample_alone,
    send_again,      ///< instead of resolving a lost write
    deny_unanswered, ///< call a write not executed for want of an answer
    deny_unsafe_barrier
};

/// The members of a group and the messages on their way. Changes of primary
/// are made at once and by the rules; their steps are explored elsewhere.
class request_world
{
public:
    static constexpr std::size_t members = 3;
    static constexpr std::size_t homes = 2;
    static constexpr std::size_t no_home = homes;

    request_world(std::uint64_t seed, broken_request_rule broken);

    /// Sends a message between a home and a member, either way.
    void send(std::size_t home, std::size_t member, std::function<void()> run);

    /// Delivers a random message whose way is not cut.
    void deliver();
    void replicate();
    void apply();
    void promote();
    void change_cuts();
    void connect() { m_cut = {}; }
    /// Leaves the primary and a home with each other alone.
    void isolate(std::size_t home);
    void crash_member();

    /// Connects everything, and brings all members to one log.
    void heal();

    std::size_t below(std::size_t limit) { return m_random() % limit; }
    bool percent(std::size_t chance) { return below(100) < chance; }
    void advance(std::size_t ms) { m_now += state::duration(ms); }
    state::time_point now() const { return m_now; }
    broken_request_rule broken() const { return m_broken; }
    member_model& member(std::size_t place) { return m_members[place]; }
    std::size_t leader() const { return m_leader; }
    std::size_t promotions() const { return m_promotions; }

private:
    struct message
    {
        std::size_t m_home = no_home;
        std::size_t m_from = 0; ///< members; equal if a home is one end
        std::size_t m_to = 0;
        std::function<void()> m_run;
    };

    bool is_cut(message const& value) const;
    void replicate_to(std::size_t from, std::size_t to);

    std::mt19937_64 m_random;
    broken_request_rule m_broken;
    std::vector<member_model> m_members;
    std::vector<message> m_messages;
    std::array<std::array<bool, members>, homes + 1> m_cut{};
    std::array<std::array<std::uint64_t, members>, members> m_matched{};
    std::size_t m_leader = 0;
    state::term m_term;
    std::size_t m_promotions = 0;
    state::time_point m_now;
};

} // namespace camphortide::standin
