#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include <camphortide/coordination/fleet/home_reachability.hpp>
#include <camphortide/proxy/message_stream.hpp>
#include <camphortide/proxy/statement_request.hpp>

namespace camphortide::proxy
{

/// Result of forwarding a statement to a home.
enum class forwarding_result
{
    answered,
    not_home, ///< the instance isn't a home of the group and didn't run it
    not_sent, ///< the link wasn't open in time
    lost      ///< no answer, though it was sent: it may have run
};

/// This instance's connection to a home. It carries the statements of all
/// groups.
class home_link : public std::enable_shared_from_this<home_link>
{
public:
    using result_handler =
        std::function<void(forwarding_result, statement_result)>;
    /// Receives null if the link ended without an answer.
    using allowance_handler = std::function<void(v1::AllowanceReply const*)>;
    using end_handler = std::function<void(coordination::link_failure)>;

    /// @param ended called when the link has failed, or could not be opened
    home_link(boost::asio::io_context& context, std::string address,
              end_handler ended);

    /// Opens the link, unless it is opening or open.
    void open();

    /// Sends a statement. While the link is opening, the statement waits for a
    /// short time.
    /// @param request the statement
    /// @param done called once with the result
    void submit(std::shared_ptr<statement_request> const& request,
                result_handler done);

    /// Rolls back a transaction that the home holds.
    /// @param transaction its number at the home
    void roll_back(std::uint64_t transaction);

    /// Sends a message that has no answer. It waits while the link is opening.
    void send_message(v1::Message message);

    /// Sends a request for tokens.
    /// @param message the request; gets its number here
    /// @param done called once with the answer
    void request_allowance(v1::Message message, allowance_handler done);

    /// Closes the link. Statements without an answer are lost, or not sent if
    /// the link was never open.
    /// @param failure the reason
    void end(coordination::link_failure failure);

    /// Pings a home that is slow to answer. If it doesn't respond, its reads
    /// are returned as lost, and finally the link is closed.
    void check_liveness(state::time_point now);

    /// @return true if `check_liveness` must be called again soon
    bool needs_check() const
    {
        return m_opening && !m_ended &&
               (!m_outstanding.empty() || m_suspect || !m_responded);
    }

    /// @return false once the link has failed or ended
    bool usable() const { return !m_ended; }
    /// @return true if the home can be expected to answer
    bool responsive() const { return m_responded && !m_ended && !m_suspect; }
    /// @return true if the home didn't respond in the expected time
    bool suspect() const { return m_suspect; }
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

    void handle_opened();
    void handle_stream_ended();
    void check_opening(state::time_point now);
    void ping();
    /// Hands statements back without an answer.
    /// @param result what became of them
    /// @param returned selects them
    template <typename Predicate>
    void return_outstanding(forwarding_result result,
                            Predicate const& returned);
    void send(std::uint64_t number, outstanding const& pending);
    void handle_message(v1::Message const& message);
    void handle_reply(v1::Reply const& reply);

    boost::asio::io_context& m_context;
    std::string m_address;
    end_handler m_on_ended;
    std::shared_ptr<message_stream> m_stream;
    boost::asio::steady_timer m_opening_timer;
    std::map<std::uint64_t, outstanding> m_outstanding; ///< by statement number
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, allowance_handler> m_allowance_requests;
    std::vector<v1::Message> m_unsent; ///< until the link is open
    state::time_point m_pinged;
    state::time_point m_opening_since;
    bool m_opening = false;
    bool m_open = false;
    /// The home has sent something: an accepted connection alone doesn't show
    /// that its process runs.
    bool m_responded = false;
    bool m_suspect = false;
    bool m_leaving = false;
    bool m_ended = false;
};

} // namespace camphortide::proxy
