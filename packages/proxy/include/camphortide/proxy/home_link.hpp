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

/// How a forwarded statement ended.
enum class forwarding_result
{
    answered,
    not_run, ///< the instance isn't a home of the group, or wasn't reached
    lost     ///< the link ended: it may have run
};

/// This instance's connection to a home, for statements of all groups.
class home_link : public std::enable_shared_from_this<home_link>
{
public:
    using result_handler =
        std::function<void(forwarding_result, statement_result)>;

    home_link(boost::asio::io_context& context, std::string address);

    /// Sends a statement, as soon as the link is open.
    void submit(std::shared_ptr<statement_request> const& request,
                result_handler done);

    /// Ends a transaction at the home.
    void roll_back(std::uint64_t transaction);

    /// Ends the link: what has no answer is lost.
    void end();

    /// Finds out whether a silent home is there, and ends the link if not.
    void check_liveness(state::time_point now);

    /// @return false once the link has failed or ended
    bool usable() const { return !m_ended; }
    /// @return true if the home said that it ends soon
    bool leaving() const { return m_leaving; }
    std::string const& address() const { return m_address; }

private:
    /// A statement without its answer.
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
    std::map<std::uint64_t, outstanding> m_outstanding; ///< by number
    std::uint64_t m_last_number = 0;
    state::time_point m_pinged;
    bool m_opening = false;
    bool m_open = false;
    bool m_leaving = false;
    bool m_ended = false;
};

} // namespace camphortide::proxy
