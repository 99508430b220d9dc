#pragma once

#include "request_callers.hpp"

#include <array>
#include <memory>

namespace camphortide::standin
{

/// Runs one schedule: a random interleaving of requests, messages, connection
/// losses, disconnections, crashes and changes of primary. Then heals the group
/// and checks the results that callers got.
class request_explorer
{
public:
    explicit request_explorer(
        std::uint64_t seed,
        broken_request_rule broken = broken_request_rule::none);

    /// @return the guarantee that was violated first
    request_guarantee run();

    request_callers const& callers() const { return m_callers; }
    request_simulation const& simulation() const { return m_simulation; }

private:
    using operation = void (request_explorer::*)();

    struct weighted_operation
    {
        std::size_t m_weight;
        operation m_operation;
    };

    void step();
    void deliver_message() { m_simulation.deliver_random(); }
    void replicate() { m_simulation.replicate(); }
    void apply_records() { m_simulation.apply_records(); }
    void promote() { m_simulation.promote(); }
    void change_connections() { m_simulation.change_connections(); }
    void connect_all() { m_simulation.connect_all(); }
    void isolate_primary();
    void crash_member() { m_simulation.crash_member(); }
    void crash_home();
    void advance_time();
    void probe() { random_home().probe(); }
    void start_write() { m_callers.start_write(random_write_home()); }
    void start_read() { m_callers.start_read(random_home()); }
    void query_or_resend() { m_callers.query_or_resend(random_write_home()); }
    void lose_connection() { random_home().lose_connection(); }
    request_home& random_home();
    request_home& random_write_home();

    static weighted_operation const operations[];

    request_simulation m_simulation;
    request_callers m_callers;
    bool m_single_writer; ///< only the first home gets writes
    std::array<std::shared_ptr<request_home>, request_simulation::homes>
        m_homes;
};

} // namespace camphortide::standin
