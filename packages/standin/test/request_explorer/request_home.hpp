#pragma once

#include "request_world.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/request/accept_read.hpp>
#include <camphortide/coordination/request/log_tracker.hpp>
#include <camphortide/coordination/request/read_attempts.hpp>
#include <camphortide/coordination/request/read_router.hpp>
#include <camphortide/coordination/request/write_tracker.hpp>

namespace camphortide::standin
{

/// What a home tells its callers.
class request_listener
{
public:
    virtual ~request_listener() = default;
    virtual void write_ended(std::uint64_t request,
                             coordination::request_result const& result) = 0;
    /// @param age the bound that the home states, if any
    virtual void read_released(std::uint64_t request,
                               state::log_position const& position,
                               std::optional<state::duration> age) = 0;
    virtual void read_refused(std::uint64_t request) = 0;
};

/// A home that serves requests by the decision classes.
class request_home : public std::enable_shared_from_this<request_home>
{
public:
    request_home(request_world& world, std::size_t place,
                 request_listener& listener);

    void start_write(std::uint64_t request, std::string const& key,
                     coordination::deadline end);
    void start_question(std::uint64_t request, std::string const& key,
                        coordination::deadline end);
    void start_read(std::uint64_t request,
                    coordination::read_requirement const& needed);
    void probe();
    /// Ends the connection of a random request that awaits an answer.
    void lose_connection();
    void expire();

private:
    struct write_work
    {
        std::string m_key;
        std::uint64_t m_attempt = 0;
        bool m_resolving = false;
        bool m_pending = true; ///< to be sent
    };

    struct read_work
    {
        coordination::read_requirement m_needed;
        coordination::read_attempts m_attempts;
        std::uint64_t m_random = 0;
        std::uint64_t m_attempt = 0;
        std::size_t m_member = 0;
        state::log_position m_position{};
        bool m_held = false;
        bool m_waits = true;
    };

    void note_status(state::member_status const& status);
    void advance();
    void send_write(std::uint64_t request);
    void write_answered(std::uint64_t request, std::uint64_t attempt,
                        statement_answer const& answer);
    void apply(std::uint64_t request, coordination::keyed_step const& step);
    void route(std::uint64_t request);
    void read_answered(std::uint64_t request, std::uint64_t attempt,
                       statement_answer const& answer);
    void check(std::uint64_t request);
    void go_on(std::uint64_t request, coordination::attempt_result result);
    std::optional<std::size_t> primary() const;
    std::vector<coordination::member_view> views() const;
    coordination::log_view log(broken_request_rule all_safe) const;
    /// Runs work at a member, and then what it returns at this home, if it
    /// still exists.
    using reply = std::function<void(request_home&)>;
    void ask(std::size_t member, std::function<reply(member_model&)> work);

    request_world& m_world;
    std::size_t m_place;
    request_listener& m_listener;
    coordination::log_tracker m_log{request_world::members};
    coordination::freshness m_samples;
    coordination::write_tracker m_tracker;
    coordination::read_router m_router;
    coordination::retry_budget m_budget{{}};
    std::map<std::uint64_t, write_work> m_writes;
    std::map<std::uint64_t, read_work> m_reads;
    std::uint64_t m_probe = 0;
    std::array<state::time_point, request_world::members> m_heard{};
};

} // namespace camphortide::standin
