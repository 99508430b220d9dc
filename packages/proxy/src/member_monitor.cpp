#include <utility>

#include <camphortide/proxy/member_monitor.hpp>

namespace camphortide::proxy
{

namespace
{

/// A request without an answer for this long is repeated on a new connection,
/// as the old one may be broken without notice: about the wait in a full queue.
constexpr state::duration answer_timeout{350};

} // namespace

member_monitor::member_monitor(boost::asio::io_context& context,
                               state::member_entry member, handlers on)
    : m_context(context),
      m_member(std::move(member)),
      m_on(std::move(on))
{
}

member_monitor::~member_monitor()
{
    *m_alive = false;
    if (m_connection)
    {
        m_connection->close();
    }
}

void member_monitor::tick(intervals const& between, state::time_point now)
{
    if (m_opening)
    {
        return;
    }
    if (!m_connection || !m_connection->alive())
    {
        if (now - m_last_opening >= between.m_openings)
        {
            open(now);
        }
        return;
    }
    if (!m_pending_since && now - m_last_request >= between.m_requests)
    {
        request_report(now);
    }
}

void member_monitor::open(state::time_point now)
{
    m_last_opening = now;
    m_opening = true;
    m_pending_since.reset();
    m_connection = std::make_shared<member_connection>(m_context);
    m_connection->open(m_member, {},
                       [this, alive = m_alive](opening_result result)
                       {
                           if (!*alive)
                           {
                               return;
                           }
                           m_opening = false;
                           if (result == opening_result::opened)
                           {
                               m_on.m_answer();
                               request_report(state::clock::now());
                           }
                           else if (result == opening_result::full)
                           {
                               m_on.m_answer();
                           }
                           else if (result == opening_result::refused)
                           {
                               m_on.m_refusal();
                           }
                           if (result == opening_result::misrouted ||
                               m_connection->no_listener())
                           {
                               m_on.m_ended();
                           }
                       });
}

void member_monitor::request_report(state::time_point now)
{
    m_last_request = now;
    m_pending_since = now;
    m_connection->send(platform::member_report_request(), now + answer_timeout,
                       [this, now, alive = m_alive](
                           std::optional<state::statement_reply> const& reply)
                       {
                           if (*alive)
                           {
                               handle_reply(reply, now);
                           }
                       });
}

void member_monitor::handle_reply(
    std::optional<state::statement_reply> const& reply,
    state::time_point requested_at)
{
    if (!reply)
    {
        if (m_pending_since)
        {
            m_pending_since.reset();
            if (!m_connection->overdue())
            {
                m_on.m_refusal();
            }
        }
        return;
    }
    m_pending_since.reset();
    m_on.m_answer();
    if (reply->ok() && !reply->m_rows.empty())
    {
        if (auto const report = platform::parse_report(reply->m_rows.front()))
        {
            m_on.m_report(*report, requested_at);
        }
    }
}

} // namespace camphortide::proxy
