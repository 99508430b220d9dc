#include <algorithm>
#include <cmath>

#include <camphortide/proxy/member_pool.hpp>

namespace camphortide::proxy
{

namespace
{

/// Weight of a new response time: the mean covers about ten statements.
constexpr double response_weight = 0.1;
/// Half-life of the mean response time while a member receives no statements,
/// so that a member that was slow is used again eventually.
constexpr state::duration response_half_life{2000};
/// How long a member that had no slot gets no statements: about the duration of
/// one.
constexpr state::duration busy_backoff{10};
/// Backoff after a failed opening: it doubles, from the minimum to the maximum.
constexpr state::duration min_opening_backoff{20};
constexpr state::duration max_opening_backoff{500};
/// Backoff after the member refused a connection because it had too many.
constexpr state::duration full_backoff{300};
/// How long a connection above the number kept may stay idle.
constexpr state::duration surplus_idle_timeout{1000};

} // namespace

member_pool::member_pool(boost::asio::io_context& context,
                         state::member_entry member)
    : m_context(context),
      m_member(std::move(member)),
      m_response(response_weight)
{
}

std::size_t member_pool::max_connections() const
{
    return m_limits.m_connections + m_limits.m_extra_connections;
}

std::size_t member_pool::idle_connections(std::string const& customer) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_idle, [&](auto const& connection)
                              { return connection->customer() == customer; }));
}

bool member_pool::close_least_recent(demand const& waiting)
{
    std::shared_ptr<member_connection> oldest;
    for (auto const& connection : m_idle)
    {
        bool const older =
            !oldest || connection->last_used() < oldest->last_used();
        if (older && !waiting.contains(connection->customer()))
        {
            oldest = connection;
        }
    }
    if (oldest)
    {
        oldest->close();
        remove(oldest);
    }
    return oldest != nullptr;
}

void member_pool::open_if_needed(demand const& waiting,
                                 changed_handler const& changed)
{
    auto const now = state::clock::now();
    std::optional<std::string> customer;
    for (auto const& [each, count] : waiting)
    {
        if (!customer && count > idle_connections(each))
        {
            customer = each;
        }
    }
    if (m_all.empty() && !customer)
    {
        customer.emplace();
    }
    // One at a time: opening a connection occupies a part of a member's slot.
    if (!customer || m_opening > 0 || now < m_next_opening)
    {
        return;
    }
    if (m_all.size() >= max_connections() &&
        (m_limits.m_connections == 0 || !close_least_recent(waiting)))
    {
        return;
    }
    auto const connection = std::make_shared<member_connection>(m_context);
    m_all.insert(connection);
    ++m_opening;
    connection->open(
        m_member, *customer,
        [self = shared_from_this(), connection, changed](opening_result result)
        {
            self->opened(connection, result);
            changed();
        });
}

void member_pool::opened(std::shared_ptr<member_connection> const& connection,
                         opening_result result)
{
    auto const now = state::clock::now();
    --m_opening;
    if (result == opening_result::opened)
    {
        m_opening_backoff = {};
        record_answer();
        m_idle.push_back(connection);
        connection->on_end(
            [pool = weak_from_this(), ended = std::weak_ptr(connection)]
            {
                if (auto const self = pool.lock())
                {
                    self->remove(ended.lock());
                }
            });
        return;
    }
    m_all.erase(connection);
    m_opening_backoff = std::clamp(m_opening_backoff * 2, min_opening_backoff,
                                   max_opening_backoff);
    m_next_opening = now + (result == opening_result::full ? full_backoff
                                                           : m_opening_backoff);
    if (result == opening_result::full)
    {
        record_answer();
    }
    else if (m_all.empty() || result == opening_result::refused)
    {
        record_failure(now);
    }
}

void member_pool::record_failure(state::time_point now)
{
    if (!m_failing_since)
    {
        m_failing_since = now;
    }
}

void member_pool::remove(std::shared_ptr<member_connection> const& connection)
{
    m_all.erase(connection);
    std::erase(m_idle, connection);
}

std::shared_ptr<member_connection>
member_pool::acquire(std::string const& customer,
                     coordination::session_values const& values)
{
    std::shared_ptr<member_connection> nearest;
    for (auto const& connection : m_idle)
    {
        if (connection->customer() == customer &&
            (!nearest || connection->setup().distance_to(values) <
                             nearest->setup().distance_to(values)))
        {
            nearest = connection;
        }
    }
    std::erase(m_idle, nearest);
    return nearest;
}

std::shared_ptr<member_connection> member_pool::acquire_any()
{
    if (m_idle.empty())
    {
        return nullptr;
    }
    auto connection = m_idle.back();
    m_idle.pop_back();
    return connection;
}

void member_pool::release(std::shared_ptr<member_connection> const& connection,
                          bool clean)
{
    if (!connection->alive() || !m_all.contains(connection))
    {
        remove(connection);
        return;
    }
    if (!clean || m_all.size() > max_connections() || m_member.m_leaving)
    {
        connection->close();
        remove(connection);
        return;
    }
    m_idle.push_back(connection);
}

void member_pool::close_all()
{
    auto const all = m_all;
    for (auto const& connection : all)
    {
        connection->close();
        remove(connection);
    }
    m_next_opening = {};
}

void member_pool::close_surplus(state::time_point now)
{
    auto const idle = m_idle;
    for (auto const& connection : idle)
    {
        if (m_all.size() <= m_limits.m_connections)
        {
            return;
        }
        if (now - connection->last_used() >= surplus_idle_timeout)
        {
            connection->close();
            remove(connection);
        }
    }
}

void member_pool::statement_finished(std::optional<state::duration> response)
{
    --m_in_flight;
    m_last_finished = state::clock::now();
    if (response)
    {
        m_response.add(static_cast<double>(response->count()));
    }
}

void member_pool::record_busy(state::time_point now)
{
    m_busy_until = now + busy_backoff;
}

coordination::member_condition
member_pool::condition(std::string const& customer, bool primary,
                       state::time_point now) const
{
    coordination::member_condition value;
    value.m_primary = primary;
    value.m_usable = !m_member.m_leaving || primary;
    value.m_free = idle_connections(customer) > 0 &&
                   m_in_flight < m_limits.m_statements && now >= m_busy_until;
    value.m_in_flight = m_in_flight;
    // A past response time predicts the next one less and less as time passes.
    auto const idle = static_cast<double>((now - m_last_finished).count()) /
                      static_cast<double>(response_half_life.count());
    value.m_response_ms = m_response.value_or(0) * std::exp2(-idle);
    value.m_applied = m_lag.applied();
    value.m_lag = m_lag.value(now);
    if (!primary && m_lag.unconfirmed(now))
    {
        // One read at a time shows whether the replica has caught up.
        value.m_free = value.m_free && m_in_flight == 0;
    }
    return value;
}

} // namespace camphortide::proxy
