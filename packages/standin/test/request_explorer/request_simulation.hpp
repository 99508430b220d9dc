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
    release_unsafe_reads,
    ignore_token,
    sample_without_majority,
    resend_with_new_key,               ///< instead of resolving a lost write
    report_unanswered_as_not_executed, ///< call a write not executed for want
                                       ///< of an answer
    report_unsafe_barrier_as_not_executed
};

/// The members of a group and the messages on their way. Changes of primary
/// are made at once and by the rules; their steps are explored elsewhere.
class request_simulation
{
public:
    static constexpr std::size_t members = 3;
    static constexpr std::size_t homes = 2;
    static constexpr std::size_t no_home = homes;

    request_simulation(std::uint64_t seed, broken_request_rule broken);

    /// Sends a message between a home and a member, either way.
    void send(std::size_t home, std::size_t member,
              std::function<void()> deliver);

    /// Delivers a random message whose way is not cut.
    void deliver_random();
    void replicate();
    void apply_records();
    void promote();
    void change_connections();
    void connect_all() { m_disconnected = {}; }
    /// Leaves the primary and a home with each other alone.
    void isolate_primary(std::size_t home);
    void crash_member();

    /// Connects everything, and brings all members to one log.
    void heal();

    std::size_t below(std::size_t limit) { return m_random() % limit; }
    bool percent(std::size_t chance) { return below(100) < chance; }
    void advance_time(std::size_t ms) { m_now += state::duration(ms); }
    state::time_point now() const { return m_now; }
    broken_request_rule broken() const { return m_broken_rule; }
    member_model& member(std::size_t index) { return m_members[index]; }
    std::size_t primary() const { return m_primary; }
    std::size_t promotions() const { return m_promotions; }

private:
    struct message
    {
        std::size_t m_home = no_home;
        std::size_t m_from = 0; ///< members; equal if a home is one end
        std::size_t m_to = 0;
        std::function<void()> m_deliver;
    };

    bool is_disconnected(message const& value) const;
    void replicate_to(std::size_t from, std::size_t to);

    std::mt19937_64 m_random;
    broken_request_rule m_broken_rule;
    std::vector<member_model> m_members;
    std::vector<message> m_messages;
    std::array<std::array<bool, members>, homes + 1> m_disconnected{};
    std::array<std::array<std::uint64_t, members>, members> m_matching_index{};
    std::size_t m_primary = 0;
    state::term m_term;
    std::size_t m_promotions = 0;
    state::time_point m_now;
};

} // namespace camphortide::standin
