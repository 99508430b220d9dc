#include <utility>

#include <camphortide/proxy/member_monitor.hpp>

namespace camphortide::proxy
{

namespace
{

/// A question without an answer for so long gets a new connection, as the old
/// one may be silent for good: about the time of a full queue.
constexpr state::duration answer_limit{350};
/// Least pause between two openings.
constexpr state::duration opening_pause{30};

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

void member_monitor::tick(state::duration interval, state::time_point now)
{
    if (m_opening)
    {
        return;
    }
    if (m_outstanding && now - *m_outstanding >= answer_limit)
    {
        auto const old = std::exchange(m_connection, nullptr);
        m_outstanding.reset();
        old->close();
    }
    if (!m_connection || !m_connection->alive())
    {
        if (now - m_last_try >= opening_pause)
        {
            open(now);
        }
        return;
    }
    if (!m_outstanding && now - m_last_asked >= interval)
    {
        ask(now);
    }
}

void member_monitor::open(state::time_point now)
{
    m_last_try = now;
    m_opening = true;
    m_outstanding.reset();
    m_connection = std::make_shared<member_connection>(m_context);
    m_connection->open(m_member,
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
                               ask(state::clock::now());
                           }
                           else if (result == opening_result::full)
                           {
                               m_on.m_answer();
                           }
                           else if (result == opening_result::refused)
                           {
                               m_on.m_refusal();
                           }
                       });
}

void member_monitor::ask(state::time_point now)
{
    m_last_asked = now;
    m_outstanding = now;
    m_connection->send(platform::member_report_request(),
                       [this, now, alive = m_alive](
                           std::optional<state::statement_reply> const& reply)
                       {
                           if (*alive)
                           {
                               answered(reply, now);
                           }
                       });
}

void member_monitor::answered(
    std::optional<state::statement_reply> const& reply, state::time_point asked)
{
    if (!reply)
    {
        if (m_outstanding)
        {
            m_outstanding.reset();
            m_on.m_refusal();
        }
        return;
    }
    m_outstanding.reset();
    m_on.m_answer();
    if (reply->ok() && !reply->m_rows.empty())
    {
        if (auto const report = platform::parse_report(reply->m_rows.front()))
        {
            m_on.m_report(*report, asked);
        }
    }
}

} // namespace camphortide::proxy
