#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include <camphortide/proxy/message_stream.hpp>
#include <camphortide/proxy/statement_request.hpp>

namespace camphortide::proxy
{

/// Result of forwarding a statement to a home.
enum class forwarding_result
{
    answered,
    not_run, ///< the instance isn't a home of the group, or wasn't reachable
    lost     ///< the link ended before the answer: it may have run
};

/// This instance's connection to a home. It carries the statements of all
/// groups.
class home_link : public std::enable_shared_from_this<home_link>
{
public:
    using result_handler =
        std::function<void(forwarding_result, statement_result)>;

    home_link(boost::asio::io_context& context, std::string address);

    /// Sends a statement, once the link is open.
    /// @param request the statement
    /// @param done called once with the result
    void submit(std::shared_ptr<statement_request> const& request,
                result_handler done);

    /// Rolls back a transaction that the home holds.
    /// @param transaction its number at the home
    void roll_back(std::uint64_t transaction);

    /// Closes the link. Statements without an answer are lost, or not run if
    /// the link was never open.
    void end();

    /// Pings a home that is slow to answer, and closes the link if it is
    /// unresponsive.
    void check_liveness(state::time_point now);

    /// @return false once the link has failed or ended
    bool usable() const { return !m_ended; }
    /// @return true if the home announced that it is about to stop
    bool leaving() const { return m_leaving; }
    std::string const& address() const { return m_address; }

private:
    /// A statement that has not been answered.
    struct outstanding
    {
        std::shared_ptr<statement_request> m_request;
        result_handler m_done;
        state::time_point m_submitted_at;
    };

    void open();
    void handle_opened();
    void send(std::uint64_t number, outstanding const& pending);
    void handle_message(v1::Message const& message);
    void handle_reply(v1::Reply const& reply);

    boost::asio::io_context& m_context;
    std::string m_address;
    std::shared_ptr<message_stream> m_stream;
    boost::asio::steady_timer m_opening_timer;
    std::map<std::uint64_t, outstanding> m_outstanding; ///< by statement number
    std::uint64_t m_last_number = 0;
    state::time_point m_pinged;
    bool m_opening = false;
    bool m_open = false;
    bool m_leaving = false;
    bool m_ended = false;
};

} // namespace camphortide::proxy
