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

/// A rule that a test breaks on purpose, to show that the checks detect it.
enum class broken_request_rule
{
    none,
    /// Writes are acknowledged before a majority has their records.
    acknowledge_unsafe,
    /// Reads are returned to callers before their records are safe.
    release_unsafe_reads,
    /// Reads ignore the position in the session token.
    ignore_token,
    /// A probe counts as confirmed when the primary alone answered it.
    sample_without_majority,
    /// A write with an unknown outcome is sent again with another key.
    resend_with_new_key,
    /// A write without an answer is reported as not executed.
    report_unanswered_as_not_executed,
    /// A write is reported as not executed before the barrier that bars its key
    /// is safe.
    report_unsafe_barrier_as_not_executed
};

/// Simulates the members of a group and the messages in flight. A change of
/// primary follows the rules but is one step; ../explorer covers interleavings
/// within it.
class request_simulation
{
public:
    static constexpr std::size_t members = 3;
    static constexpr std::size_t homes = 2;
    static constexpr std::size_t no_home = homes;

    request_simulation(std::uint64_t seed, broken_request_rule broken);

    /// Sends a message from a home to a member or back.
    void send(std::size_t home, std::size_t member,
              std::function<void()> deliver);

    /// Delivers a random message between nodes that are connected.
    void deliver_random();
    void replicate();
    void apply_records();
    void promote();
    /// Connects or disconnects a member and a home, or a member and all others.
    void change_connections();
    void connect_all() { m_disconnected = {}; }
    /// Disconnects the primary and a home from all other nodes, but not from
    /// each other.
    void isolate_primary(std::size_t home);
    void crash_member();

    /// Connects all nodes, promotes a member and makes all logs equal.
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
        std::size_t m_home = no_home; ///< no_home between two members
        std::size_t m_from = 0;       ///< member; equal to m_to with a home
        std::size_t m_to = 0;
        std::function<void()> m_deliver;
    };

    bool is_disconnected(message const& value) const;
    void replicate_to(std::size_t from, std::size_t to);

    std::mt19937_64 m_random;
    broken_request_rule m_broken_rule;
    std::vector<member_model> m_members;
    std::vector<message> m_messages;
    /// By home and member; in the row of no_home, a member that is disconnected
    /// from the other members.
    std::array<std::array<bool, members>, homes + 1> m_disconnected{};
    /// By sender and receiver: the index up to which their logs are equal.
    std::array<std::array<std::uint64_t, members>, members> m_matching_index{};
    std::size_t m_primary = 0;
    state::term m_term;
    std::size_t m_promotions = 0;
    state::time_point m_now;
};

} // namespace camphortide::standin
