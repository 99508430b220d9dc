#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/coordination/limits/allowance_account.hpp>
#include <camphortide/coordination/session/session_state.hpp>
#include <camphortide/platform/caller_protocol.hpp>
#include <camphortide/platform/line_splitter.hpp>
#include <camphortide/proxy/socket_writer.hpp>
#include <camphortide/proxy/statement_request.hpp>

namespace camphortide::proxy
{

/// Bounds of the answers that a caller hasn't read.
struct unread_limits
{
    /// With this many bytes or more, nothing is read from the caller.
    std::size_t m_bytes = 65536;
    /// A caller that takes nothing for this long is closed.
    state::duration m_time{10000};
};

/// What a caller's session requires of its owner.
class session_host
{
public:
    session_host() = default;
    virtual ~session_host() = default;
    session_host(session_host const&) = delete;
    session_host& operator=(session_host const&) = delete;

    /// @return the configuration in force; null until the first one arrives
    virtual std::shared_ptr<state::configuration const>
    configuration() const = 0;

    /// Runs a statement at a member of its route's group. The result goes to
    /// the request's handler.
    virtual void submit(std::shared_ptr<statement_request> const& request) = 0;

    /// @return true if operations of the customer are limited
    virtual bool limits_operations(std::string const& customer) const = 0;

    /// Asks whether an operation of a limited customer may begin.
    /// @param done called once, possibly before this returns
    virtual void acquire_allowance(
        std::string const& customer,
        std::function<void(coordination::allowance_decision)> done) = 0;

    /// @return false if the configuration may be too old to serve keys
    virtual bool keys_up_to_date() const = 0;

    /// @return true if this instance is stopping and begins no operations
    virtual bool leaving() const = 0;

    /// @return the bounds of the answers that a caller hasn't read
    virtual unread_limits limits_of_unread_answers() const = 0;

    /// @return when this instance stops; never if it isn't stopping
    virtual state::time_point stops_at() const = 0;

    /// Rolls back a transaction that its caller abandoned.
    virtual void roll_back(std::string const& group,
                           bound_connection const& bound) = 0;

    /// Reports that this instance refused a statement or a session itself,
    /// without sending anything to a member.
    /// @param id ID of the statement; empty: the whole session was refused
    /// @param database the database that the caller named
    /// @param failure sent to the caller
    virtual void refused_locally(std::string const& id,
                                 std::string const& database,
                                 state::statement_failure const& failure) = 0;
};

/// The connection and session of one caller.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    using end_handler = std::function<void(caller_session*)>;

    caller_session(boost::asio::ip::tcp::socket socket, session_host& host,
                   std::uint64_t number);

    /// Starts reading from the socket.
    /// @param ended called once, when the connection has ended
    void start(end_handler ended);

    /// Opens the session if its caller waits for the first configuration.
    void configuration_arrived();

    /// Ends the session if it has no open request, no open transaction, no
    /// unsent or partly received data, and a caller that isn't about to send:
    /// one that is gets an answer to its next statement.
    void close_if_idle(state::time_point now);

    /// Rolls back the open transaction, if no request is in progress.
    void end_transaction();

    /// Rolls back the open transaction if the caller has sent nothing for
    /// longer than the limit, or if its key was withdrawn a while ago.
    /// @param limit zero: no limit
    void end_overdue_transaction(state::duration limit, state::time_point now);

    /// @return true if the caller has taken nothing of its answers for too long
    bool is_unread(state::time_point now) const;

    /// Closes the session and discards the answers that weren't taken.
    void close_unread();

    bool in_transaction() const { return m_state.in_transaction(); }
    bool busy() const { return m_busy; }

private:
    void read();
    bool can_process() const;
    void process_lines();
    void handle(platform::open_session const& message);
    void handle(state::statement const& message);
    void handle(platform::close_session const& message);
    void handle(platform::malformed_message const& message);
    void open();
    void refuse_and_close(state::statement_failure const& failure);
    /// Looks up the route and the customer in the configuration in force.
    /// @return why the caller can't be served; nothing if it can
    std::optional<state::statement_failure> find_route();
    bool key_withdrawn(state::time_point now);
    void submit(state::statement const& statement);
    void submit_if_allowed(state::statement const& statement);
    void refuse_operation(state::statement const& statement,
                          coordination::allowance_decision const& decision);
    std::shared_ptr<statement_request>
    build_request(state::statement const& statement);
    coordination::sent_kind kind_of(state::statement const& statement) const;
    void handle_result(state::statement const& statement,
                       statement_result result);
    void reply_to_caller(state::statement_reply const& reply);
    void release_transaction();
    void write(std::string const& bytes);
    void handle_written(bool ok);
    void end();

    boost::asio::ip::tcp::socket m_socket;
    session_host& m_host;
    socket_writer m_writer;
    std::uint64_t m_number;
    std::uint64_t m_statement_count = 0;
    end_handler m_on_end;
    platform::line_splitter m_lines;
    std::array<char, 4096> m_read_buffer;
    bool m_open = false; ///< the caller has named its database
    bool m_awaiting_configuration = false; ///< no configuration has arrived
    bool m_busy = false;                   ///< a request is in progress
    bool m_ended = false;
    bool m_reading = false;
    bool m_processing = false; ///< process_lines() is on the call stack
    bool m_close_when_written = false;
    std::string m_database;
    state::key_digest m_key;
    std::string m_customer; ///< name; empty: the route needs none
    coordination::session_state m_state;
    std::shared_ptr<state::configuration const> m_configuration;
    state::route const* m_route = nullptr;
    std::optional<bound_connection> m_bound;
    std::string m_bound_group;
    std::optional<coordination::session_position> m_last_commit;
    state::time_point m_started; ///< start of the transaction or statement
    state::time_point m_last_received; ///< when the caller last sent data
    /// When the session noticed that its open transaction's key is withdrawn.
    std::optional<state::time_point> m_withdrawn_at;
};

} // namespace camphortide::proxy
