#pragma once

#include "request_callers.hpp"

#include <array>
#include <memory>

namespace camphortide::standin
{

/// Runs one schedule: a random interleaving of requests, messages, losses,
/// cuts, crashes and changes of primary; then heals the group and checks what
/// callers were told.
class request_explorer
{
public:
    explicit request_explorer(
        std::uint64_t seed,
        broken_request_rule broken = broken_request_rule::none);

    /// @return the first broken promise
    request_promise run();

    request_callers const& callers() const { return m_callers; }
    request_world const& world() const { return m_world; }

private:
    using operation = void (request_explorer::*)();

    struct weighted
    {
        std::size_t m_weight;
        operation m_run;
    };

    void step();
    void deliver() { m_world.deliver(); }
    void replicate() { m_world.replicate(); }
    void apply() { m_world.apply(); }
    void promote() { m_world.promote(); }
    void cut() { m_world.change_cuts(); }
    void connect() { m_world.connect(); }
    void isolate();
    void crash_member() { m_world.crash_member(); }
    void crash_home();
    void advance();
    void probe() { home().probe(); }
    void write() { m_callers.write(writing_home()); }
    void read() { m_callers.read(home()); }
    void ask() { m_callers.ask(writing_home()); }
    void lose_connection() { home().lose_connection(); }
    request_home& home();
    request_home& writing_home();

    static weighted const operations[];

    request_world m_world;
    request_callers m_callers;
    bool m_one_writes; ///< the other home serves reads only
    std::array<std::shared_ptr<request_home>, request_world::homes> m_homes;
};

} // namespace camphortide::standin
