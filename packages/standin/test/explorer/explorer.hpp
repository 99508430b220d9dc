#pragma once

#include "explorer_client.hpp"
#include "explorer_home.hpp"
#include "group_simulation.hpp"

#include <cstdint>
#include <optional>

namespace camphortide::standin
{

/// Runs one schedule: a random interleaving of requests, messages, message
/// losses, pauses and crashes. Then heals the group, which must converge.
class explorer
{
public:
    /// @param seed determines the size of the group and all random choices
    /// @param broken the rule to break
    explicit explorer(std::uint64_t seed,
                      broken_rule broken = broken_rule::none);

    /// @return the guarantee that was violated first, if any
    std::optional<guarantee> run();

    /// Enables the recording of events; to be called before run().
    void trace() { m_simulation.m_tracing = true; }

    std::vector<std::string> const& events() const
    {
        return m_simulation.events();
    }
    guarantee_checker& checker() { return m_simulation.checker(); }

private:
    using operation = void (explorer::*)();
    struct weighted_operation
    {
        std::size_t m_weight;
        operation m_operation;
    };

    void step();
    void deliver_messages();
    void advance_time();
    void replicate();
    void apply_records();
    void start_write() { m_client.start_write(); }
    void start_read() { m_client.start_read(); }
    void interrupt_request() { m_client.interrupt_request(); }
    void query_outcome() { m_client.query_outcome(); }
    void inject_fault();
    /// Disconnects the primary and a random home from all other nodes, but not
    /// from each other.
    void isolate_primary();
    void inject_home_fault();
    void maybe_heal();
    void heal();
    void report_drained();
    void process_homes();
    void converge();
    void trace_state();
    bool has_converged();
    std::optional<std::size_t> current_primary();

    static weighted_operation const operations[];

    group_simulation m_simulation;
    explorer_client::home_list m_homes;
    explorer_client m_client;
};

} // namespace camphortide::standin
