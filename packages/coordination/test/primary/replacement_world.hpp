#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <camphortide/coordination/primary/duty_lease.hpp>
#include <camphortide/coordination/primary/primary_watch.hpp>
#include <camphortide/coordination/primary/replacement.hpp>

namespace replacement_explorer
{

namespace coordination = camphortide::coordination;
namespace state = camphortide::state;
using state::time_point;

/// A guard that a broken variant leaves out.
enum class left_out
{
    nothing,
    permit_at_answer,   ///< the permit isn't asked when the answer comes
    proof_from_sending, ///< a proof counts from its arrival
    wait_for_silent,    ///< a silent instance is taken for closed
    target,             ///< a new holder doesn't know who may come to lead
    claim               ///< a new holder trusts that no write is under way
};

/// What a schedule broke.
struct findings
{
    int m_superseded = 0; ///< acknowledged by a primary that was replaced
    int m_stale = 0;      ///< reads that lacked an acknowledged write
    int m_tokens = 0;     ///< promotions with a lower token than before
    int m_promotions = 0;
    int m_acknowledged = 0;

    bool broken() const { return m_superseded + m_stale + m_tokens > 0; }
};

/// Instances, a store, three members of one group and the ways between them,
/// on a simulated clock. Members acknowledge alone. Messages are delayed;
/// answers of the store are lost or its writes done late; instances freeze,
/// die, start again, and lose the store, their peers or a member.
class world
{
public:
    world(std::uint64_t seed, left_out variant);
    ~world();

    /// Plays a schedule.
    findings run(state::duration length);

private:
    struct instance;
    struct member;
    struct store_write;
    using task = std::function<void()>;

    struct event
    {
        time_point m_at;
        std::uint64_t m_number;
        task m_run;
        bool operator>(event const& other) const
        {
            return std::tie(m_at, m_number) >
                   std::tie(other.m_at, other.m_number);
        }
    };

    int draw(int low, int high);
    bool chance(double part);
    void after(int ms, task run);
    /// Runs at an instance, unless it was started anew; a frozen one runs it
    /// when it wakes.
    void at_instance(int index, std::uint64_t life, int ms,
                     std::function<void(instance&)> const& run);

    void start_instance(int index);
    void tick(instance& self);
    void read_store(instance& self);
    void ask_store(instance& self);
    void take_records(instance& self, state::fleet_records const& records,
                      time_point asked);
    void write_term(instance& self, state::term_record const& record,
                    std::uint64_t revision);
    void write_duty(instance& self, coordination::duty_write const& write);
    void write_own(instance& self);
    /// Does a conditional write at the store.
    /// @param apply changes the records; false: the condition fails
    /// @param done gets the revision, or nothing
    void store_call(
        instance& self, std::function<bool(std::uint64_t)> const& apply,
        std::function<void(instance&, std::optional<std::uint64_t>)> const&
            done);
    void act(instance& self, coordination::replacement_action const& action);
    void ask_close(instance& self, std::string const& name);
    void promote(instance& self, std::string const& name);
    void replicate();
    void probe(instance& self);
    void call_primary(instance& self);
    void make_trouble();
    void stop_instance(instance& victim);
    bool reaches(instance const& from, int member_index) const;

    left_out m_variant;
    std::mt19937_64 m_random;
    time_point m_now;
    std::uint64_t m_events = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_queue;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<std::unique_ptr<member>> m_members;
    state::fleet_records m_records;
    std::uint64_t m_revision = 1;
    bool m_store_up = true;
    int m_leader = 0;
    std::uint64_t m_term = 1;
    std::uint64_t m_highest_token = 0;
    /// acknowledged writes that the present leader's log holds
    std::uint64_t m_acknowledged = 0;
    findings m_findings;
};

} // namespace replacement_explorer
