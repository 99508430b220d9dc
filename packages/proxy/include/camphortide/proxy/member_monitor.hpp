#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include <camphortide/proxy/member_connection.hpp>
#include <camphortide/state/clock.hpp>
#include <camphortide/state/member_entry.hpp>

namespace camphortide::proxy
{

/// Requests one member's report periodically, on a connection used for nothing
/// else.
class member_monitor
{
public:
    struct handlers
    {
        /// @param requested_at when the report was requested
        std::function<void(state::member_report const&,
                           state::time_point requested_at)>
            m_report;
        std::function<void()> m_answer;  ///< any response
        std::function<void()> m_refusal; ///< a refused or broken connection
        /// No process listens at the address, or another member's. A broken
        /// connection doesn't show that: the network may have broken it.
        std::function<void()> m_ended;
    };

    /// Minimum times between two attempts.
    struct intervals
    {
        state::duration m_requests;
        state::duration m_openings{30}; ///< of the connection
    };

    member_monitor(boost::asio::io_context& context, state::member_entry member,
                   handlers on);
    ~member_monitor();

    /// Requests a report, or opens the connection, if one is due.
    /// @param now the current time
    void tick(intervals const& between, state::time_point now);

    state::member_entry const& member() const { return m_member; }

private:
    void open(state::time_point now);
    void request_report(state::time_point now);
    void handle_reply(std::optional<state::statement_reply> const& reply,
                      state::time_point requested_at);

    boost::asio::io_context& m_context;
    state::member_entry m_member;
    handlers m_on;
    std::shared_ptr<member_connection> m_connection;
    bool m_opening = false;
    std::optional<state::time_point> m_pending_since; ///< unanswered request
    state::time_point m_last_request;
    state::time_point m_last_opening;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace camphortide::proxy
