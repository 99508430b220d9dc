#pragma once

#include "explorer_client.hpp"
#include "explorer_home.hpp"
#include "group_world.hpp"

#include <cstdint>
#include <optional>

namespace camphortide::standin
{

/// Runs one schedule: a random interleaving of messages, losses, pauses,
/// crashes and requests, then a healed group that must come to rest.
class explorer
{
public:
    /// @param seed decides everything that happens
    /// @param broken the rule to break
    explicit explorer(std::uint64_t seed,
                      broken_rule broken = broken_rule::none);

    /// @return the first promise found broken, if any
    std::optional<promise> run();

    /// Records the events of the schedule.
    void trace() { m_world.m_tracing = true; }

    std::vector<std::string> const& events() const { return m_world.events(); }
    promise_checker& checker() { return m_world.checker(); }

private:
    using operation = void (explorer::*)();
    struct weighted
    {
        std::size_t m_weight;
        operation m_run;
    };

    void step();
    void move_messages();
    void advance();
    void replicate();
    void apply();
    void write() { m_client.start_write(); }
    void read() { m_client.start_read(); }
    void give_up() { m_client.give_up(); }
    void ask() { m_client.ask(); }
    void fault();
    /// Leaves the primary and a home with each other alone.
    void isolate();
    void home_fault();
    void may_heal();
    void heal();
    void drain();
    void poll();
    void converge();
    void trace_state();
    bool is_at_rest();
    std::optional<std::size_t> leader();

    static weighted const operations[];

    group_world m_world;
    explorer_client::homes m_homes;
    explorer_client m_client;
};

} // namespace camphortide::standin
