#include <algorithm>
#include <cmath>

#include <camphortide/proxy/member_lane.hpp>

namespace camphortide::proxy
{

namespace
{

/// Weight of a new response time in the mean: some ten statements count.
constexpr double response_weight = 0.1;
/// Time in which the response time of a member that gets no statements halves,
/// so that one that was slow is tried again.
constexpr state::duration response_half_life{2000};
/// Weight of a lag that is shorter than the one known.
constexpr double lag_weight = 0.2;
/// A lag that made a member refuse is at least this much longer than known.
constexpr double lagging_growth = 1.5;
/// How long a member that had no slot is left alone: about a statement.
constexpr state::duration busy_pause{10};
/// First pause after a failed opening; it doubles up to the longest.
constexpr state::duration first_opening_pause{20};
constexpr state::duration longest_opening_pause{500};
/// Pause after the member had no room for a connection.
constexpr state::duration full_pause{300};
/// How long a connection above this instance's part stays idle.
constexpr state::duration surplus_idle{1000};

} // namespace

member_lane::member_lane(boost::asio::io_context& context,
                         state::member_entry member)
    : m_context(context),
      m_member(std::move(member)),
      m_response(response_weight)
{
}

std::size_t member_lane::most() const
{
    return m_limits.m_connections + m_limits.m_extra;
}

void member_lane::open_wanted(std::size_t waiting,
                              changed_handler const& changed)
{
    auto const now = state::clock::now();
    bool const warm = m_all.empty();
    bool const wanted = warm || (waiting > m_idle.size() + m_opening);
    // One at a time: each costs the member part of a slot.
    if (!wanted || m_opening > 0 || m_all.size() >= most() ||
        now < m_no_opening_before)
    {
        return;
    }
    auto const connection = std::make_shared<member_connection>(m_context);
    m_all.insert(connection);
    ++m_opening;
    connection->open(
        m_member,
        [self = shared_from_this(), connection, changed](opening_result result)
        {
            self->opened(connection, result);
            changed();
        });
}

void member_lane::opened(std::shared_ptr<member_connection> const& connection,
                         opening_result result)
{
    auto const now = state::clock::now();
    --m_opening;
    if (result == opening_result::opened)
    {
        m_opening_pause = {};
        note_answer();
        m_idle.push_back(connection);
        connection->on_end(
            [lane = weak_from_this(), ended = std::weak_ptr(connection)]
            {
                if (auto const self = lane.lock())
                {
                    self->forget(ended.lock());
                }
            });
        return;
    }
    m_all.erase(connection);
    m_opening_pause = std::clamp(m_opening_pause * 2, first_opening_pause,
                                 longest_opening_pause);
    m_no_opening_before =
        now + (result == opening_result::full ? full_pause : m_opening_pause);
    if (result == opening_result::full)
    {
        note_answer();
    }
    else if (m_all.empty() || result == opening_result::refused)
    {
        note_failure(now);
    }
}

void member_lane::note_failure(state::time_point now)
{
    if (!m_failing_since)
    {
        m_failing_since = now;
    }
}

void member_lane::forget(std::shared_ptr<member_connection> const& connection)
{
    m_all.erase(connection);
    std::erase(m_idle, connection);
}

std::shared_ptr<member_connection>
member_lane::take(coordination::session_values const& values)
{
    if (m_idle.empty())
    {
        return nullptr;
    }
    auto const nearest =
        std::min_element(m_idle.begin(), m_idle.end(),
                         [&](auto const& left, auto const& right)
                         {
                             return left->setup().distance_to(values) <
                                    right->setup().distance_to(values);
                         });
    auto connection = *nearest;
    m_idle.erase(nearest);
    return connection;
}

void member_lane::give_back(
    std::shared_ptr<member_connection> const& connection, bool clean)
{
    if (!connection->alive() || !m_all.contains(connection))
    {
        forget(connection);
        return;
    }
    if (!clean || m_all.size() > most() || m_member.m_leaving)
    {
        connection->close();
        forget(connection);
        return;
    }
    m_idle.push_back(connection);
}

void member_lane::close_all()
{
    auto const all = m_all;
    for (auto const& connection : all)
    {
        connection->close();
        forget(connection);
    }
    m_no_opening_before = {};
}

void member_lane::close_surplus(state::time_point now)
{
    auto const idle = m_idle;
    for (auto const& connection : idle)
    {
        if (m_all.size() <= m_limits.m_connections)
        {
            return;
        }
        if (now - connection->last_used() >= surplus_idle)
        {
            connection->close();
            forget(connection);
        }
    }
}

void member_lane::finished(std::optional<state::duration> response)
{
    --m_in_flight;
    m_last_finished = state::clock::now();
    if (response)
    {
        m_response.add(static_cast<double>(response->count()));
    }
}

void member_lane::note_busy(state::time_point now)
{
    m_busy_until = now + busy_pause;
}

void member_lane::note_lagging(state::duration behind)
{
    m_last_heard = state::clock::now();
    auto const grown = state::duration(static_cast<state::duration::rep>(
        static_cast<double>(m_lag.count()) * lagging_growth));
    m_lag = std::max(behind, std::min(grown, behind * 2));
}

void member_lane::note_applied(state::log_position position,
                               state::duration behind)
{
    m_last_heard = state::clock::now();
    if (!m_applied || position > *m_applied)
    {
        m_applied = position;
    }
    auto const weight = behind > m_lag ? 1.0 : lag_weight;
    m_lag += state::duration(static_cast<state::duration::rep>(
        static_cast<double>((behind - m_lag).count()) * weight));
}

coordination::member_condition
member_lane::condition(bool primary, state::time_point now) const
{
    coordination::member_condition value;
    value.m_primary = primary;
    value.m_usable = !m_member.m_leaving || primary;
    value.m_free = !m_idle.empty() && m_in_flight < m_limits.m_statements &&
                   now >= m_busy_until;
    value.m_in_flight = m_in_flight;
    // What a member took says less and less of what it would take now.
    auto const idle = static_cast<double>((now - m_last_finished).count()) /
                      static_cast<double>(response_half_life.count());
    value.m_response_ms = m_response.value_or(0) * std::exp2(-idle);
    value.m_applied = m_applied;
    value.m_lag = m_lag;
    return value;
}

} // namespace camphortide::proxy
