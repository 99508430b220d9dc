#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/coordination/session/session_state.hpp>
#include <camphortide/platform/caller_protocol.hpp>
#include <camphortide/platform/line_splitter.hpp>
#include <camphortide/proxy/socket_writer.hpp>
#include <camphortide/proxy/statement_request.hpp>

namespace camphortide::proxy
{

/// What a session needs of the traffic around it.
class session_host
{
public:
    session_host() = default;
    virtual ~session_host() = default;
    session_host(session_host const&) = delete;
    session_host& operator=(session_host const&) = delete;

    /// @return the configuration in force; null before the first
    virtual std::shared_ptr<state::configuration const>
    configuration() const = 0;

    /// Runs a statement at a member of its route's group.
    virtual void submit(std::shared_ptr<statement_request> const& request) = 0;

    /// Ends a transaction that a caller gave up.
    virtual void roll_back(std::string const& group,
                           bound_connection const& bound) = 0;

    /// A statement, or a whole session, was refused without a member.
    /// @param id of the statement; empty: the session
    virtual void refused_locally(std::string const& id,
                                 std::string const& database,
                                 state::statement_failure const& failure) = 0;
};

/// One caller's connection.
class caller_session : public std::enable_shared_from_this<caller_session>
{
public:
    using end_handler = std::function<void(caller_session*)>;

    caller_session(boost::asio::ip::tcp::socket socket, session_host& host,
                   std::uint64_t number);

    /// Begins to read.
    /// @param ended called once when the connection has ended
    void start(end_handler ended);

    /// Answers a caller that waits for the first configuration.
    void configuration_arrived();

    /// Ends the session if no request is open and no transaction either.
    void close_if_idle();

    /// Ends an open transaction that waits for its caller.
    void end_transaction();

    /// Ends the transaction if the caller has been silent for so long.
    void end_idle_transaction(state::duration limit, state::time_point now);

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
    bool find_route();
    void submit(state::statement const& statement);
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
    bool m_open = false;                   ///< the caller named its database
    bool m_awaiting_configuration = false; ///< for the first configuration
    bool m_busy = false;                   ///< a request is not answered yet
    bool m_ended = false;
    bool m_reading = false;
    bool m_processing = false; ///< lines are being taken further up the stack
    bool m_close_when_written = false;
    std::string m_database;
    coordination::session_state m_state;
    std::shared_ptr<state::configuration const> m_configuration;
    state::route const* m_route = nullptr;
    std::optional<bound_connection> m_bound;
    std::string m_bound_group;
    std::optional<coordination::session_position> m_last_commit;
    state::time_point m_started;       ///< of the transaction, or the statement
    state::time_point m_last_received; ///< of the caller
};

} // namespace camphortide::proxy
