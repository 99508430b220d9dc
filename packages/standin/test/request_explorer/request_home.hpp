#pragma once

#include "request_simulation.hpp"

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

/// Receives the results of the requests at a home.
class request_listener
{
public:
    virtual ~request_listener() = default;
    virtual void write_ended(std::uint64_t request,
                             coordination::request_result const& result) = 0;
    /// @param age reported upper bound of the age of the data; nothing if
    ///     unknown
    virtual void read_released(std::uint64_t request,
                               state::log_position const& position,
                               std::optional<state::duration> age) = 0;
    virtual void read_refused(std::uint64_t request) = 0;
};

/// Simulates a home that processes requests with the decision classes of a
/// running instance.
class request_home : public std::enable_shared_from_this<request_home>
{
public:
    request_home(request_simulation& simulation, std::size_t index,
                 request_listener& listener);

    void start_write(std::uint64_t request, std::string const& key,
                     coordination::deadline end);
    void start_outcome_query(std::uint64_t request, std::string const& key,
                             coordination::deadline end);
    void start_read(std::uint64_t request,
                    coordination::read_requirement const& requirement);
    void probe();
    /// Breaks the connection of a request that waits for an answer.
    void lose_connection();
    void expire();

private:
    struct write_state
    {
        std::string m_key;
        std::uint64_t m_attempt = 0;
        bool m_resolving = false;
        bool m_pending = true; ///< not sent yet
    };

    struct read_state
    {
        coordination::read_requirement m_requirement;
        coordination::read_attempts m_attempts;
        std::uint64_t m_random = 0;
        std::uint64_t m_attempt = 0;
        std::size_t m_member = 0;
        state::log_position m_position{};
        bool m_held = false;   ///< answered, but not released yet
        bool m_waiting = true; ///< no member to send it to yet
    };

    void note_status(state::member_status const& status);
    void continue_requests();
    void send_write(std::uint64_t request);
    void handle_write_answer(std::uint64_t request, std::uint64_t attempt,
                             statement_answer const& answer);
    void apply_step(std::uint64_t request,
                    coordination::keyed_step const& step);
    void route(std::uint64_t request);
    void handle_read_answer(std::uint64_t request, std::uint64_t attempt,
                            statement_answer const& answer);
    void evaluate_read(std::uint64_t request);
    void continue_read(std::uint64_t request,
                       coordination::attempt_result result);
    std::optional<std::size_t> primary() const;
    std::vector<coordination::member_view> member_views() const;
    /// @param unsafe_rule if this rule is broken, all records count as safe
    coordination::log_view log(broken_request_rule unsafe_rule) const;
    /// Handles a reply at the home that sent the request.
    using reply = std::function<void(request_home&)>;
    /// Sends a request to a member.
    /// @param work run at the member; its result is run at this home if the
    ///     home still exists when the reply arrives
    void send_request(std::size_t member,
                      std::function<reply(member_model&)> work);

    request_simulation& m_simulation;
    std::size_t m_index;
    request_listener& m_listener;
    coordination::log_tracker m_log{request_simulation::members};
    coordination::freshness m_samples;
    coordination::write_tracker m_tracker;
    coordination::read_router m_router;
    coordination::retry_budget m_budget{{}};
    std::map<std::uint64_t, write_state> m_writes;
    std::map<std::uint64_t, read_state> m_reads;
    std::uint64_t m_probe = 0;
    std::array<state::time_point, request_simulation::members>
        m_last_status_at{};
};

} // namespace camphortide::standin
