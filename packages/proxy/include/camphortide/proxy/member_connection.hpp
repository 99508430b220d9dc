#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <camphortide/coordination/session/connection_setup.hpp>
#include <camphortide/platform/line_splitter.hpp>
#include <camphortide/platform/member_protocol.hpp>
#include <camphortide/proxy/socket_writer.hpp>
#include <camphortide/state/clock.hpp>
#include <camphortide/state/member_entry.hpp>
#include <camphortide/state/statement_reply.hpp>

namespace camphortide::proxy
{

/// Result of opening a connection to a member.
enum class opening_result
{
    opened,
    refused,   ///< the connection was refused or broken
    timed_out, ///< no answer in time
    full,      ///< the member accepts no more connections
    misrouted  ///< another member or group answers at the address
};

/// One connection to a member. Statements are pipelined: replies arrive in the
/// order in which the statements were sent. A connection on which a reply is
/// overdue is closed, as nothing tells what has become of the statement.
class member_connection : public std::enable_shared_from_this<member_connection>
{
public:
    using open_handler = std::function<void(opening_result)>;
    /// Receives nothing if the connection ended before the reply was complete.
    using reply_handler =
        std::function<void(std::optional<state::statement_reply>)>;

    explicit member_connection(boost::asio::io_context& context);
    ~member_connection();

    /// Connects, and names the group and the member that are expected at the
    /// address.
    /// @param member to connect to
    /// @param customer that the connection serves; empty: none
    /// @param done called once with the result
    void open(state::member_entry const& member, std::string const& customer,
              open_handler done);

    /// Sends one statement or setup command.
    /// @param bytes the encoded text
    /// @param deadline the connection is closed if the reply isn't complete
    /// then
    /// @param done called once with the reply; at once, with nothing, if the
    ///     connection isn't open
    void send(std::string const& bytes, state::time_point deadline,
              reply_handler done);

    /// Closes the connection. Handlers of outstanding statements are called
    /// with nothing.
    void close();

    bool alive() const { return m_open; }
    /// @return true if it was closed because a reply was overdue
    bool overdue() const { return m_overdue; }
    /// @return true if no process listened at the address
    bool no_listener() const { return m_no_listener; }
    /// @return the customer whose statements the connection carries; empty:
    ///     none
    std::string const& customer() const { return m_customer; }
    std::size_t outstanding() const { return m_outstanding.size(); }

    /// Sets the handler that is called once when the connection ends.
    void on_end(std::function<void()> handler)
    {
        m_on_end = std::move(handler);
    }

    /// Session values and prepared statements set up on the connection.
    coordination::connection_setup& setup() { return m_setup; }

    state::time_point last_used() const { return m_last_used; }
    state::time_point opened_at() const { return m_opened_at; }
    /// @return the time that the network connection took to establish: one
    ///     round trip, since it occupies no slot of the member
    state::duration round_trip() const { return m_round_trip; }

private:
    /// A statement without a complete reply.
    struct outstanding_statement
    {
        reply_handler m_done;
        state::time_point m_deadline;
    };

    void handle_connected();
    void handle_opening_line(std::string const& line);
    void finish_opening(opening_result result);
    void read();
    void process_lines();
    void process_line(std::string const& line);
    /// Makes the timer expire at the earliest deadline, or before.
    void await_replies();
    void check_deadlines();
    state::time_point earliest_deadline() const;
    void end();

    boost::asio::ip::tcp::socket m_socket;
    socket_writer m_writer;
    boost::asio::steady_timer m_opening_timer;
    boost::asio::steady_timer m_reply_timer;
    /// When m_reply_timer expires; nothing while it doesn't run.
    std::optional<state::time_point> m_next_check;
    platform::line_splitter m_lines;
    platform::member_reply_parser m_parser;
    coordination::connection_setup m_setup;
    std::string m_customer;
    std::string m_greeting;
    std::array<char, 8192> m_read_buffer;
    std::deque<outstanding_statement> m_outstanding;
    open_handler m_opening;
    std::function<void()> m_on_end;
    state::time_point m_last_used;
    state::time_point m_opened_at;
    state::time_point m_connect_started;
    state::duration m_round_trip{};
    bool m_open = false;
    bool m_ended = false;
    bool m_overdue = false;
    bool m_no_listener = false;
};

} // namespace camphortide::proxy
