#include <algorithm>
#include <cmath>

#include <camphortide/coordination/placing/statement_limit.hpp>
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
/// Over which the rate of answered statements is averaged: several round trips
/// between regions.
constexpr state::duration answered_averaging_time{500};
/// How long a member that had no slot gets no statements: about the duration of
/// one.
constexpr state::duration busy_backoff{10};
/// Backoff after a failed opening: it doubles, from the minimum to the maximum.
constexpr state::duration min_opening_backoff{20};
constexpr state::duration max_opening_backoff{500};
/// Backoff after the member refused a connection because it had too many.
constexpr state::duration full_backoff{300};
/// Assumed time of an opening until one has been measured, in ms.
constexpr double initial_opening_ms = 12;
/// How long other members are considered for a customer for which no connection
/// could be opened: several openings.
constexpr state::duration denial_time{50};
/// A member notices the end of a connection within a round trip, and after the
/// statement that it runs.
constexpr int noticing_round_trips = 2;
constexpr state::duration min_noticing_time{20};
/// How long a connection above the number kept may stay idle.
constexpr state::duration surplus_idle_timeout{1000};

} // namespace

member_pool::member_pool(boost::asio::io_context& context,
                         state::member_entry member)
    : m_context(context),
      m_member(std::move(member)),
      m_response(response_weight),
      m_answered(answered_averaging_time),
      m_opening_time(response_weight),
      m_use_time(response_weight)
{
}

std::size_t member_pool::max_connections() const
{
    return m_limits.m_connections + m_limits.m_extra_connections;
}

std::uint32_t member_pool::max_statements(state::time_point now) const
{
    coordination::statement_limit_inputs inputs;
    inputs.m_slots = m_member.m_slots;
    inputs.m_homes = m_limits.m_homes;
    inputs.m_least_response = m_least_round_trip.value_or(state::duration(0));
    inputs.m_answered_per_s = m_answered.per_second(now);
    inputs.m_capacity = static_cast<std::uint32_t>(max_connections());
    return coordination::statement_limit(inputs);
}

std::size_t member_pool::idle_connections(std::string const& customer) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_idle, [&](auto const& connection)
                              { return connection->customer() == customer; }));
}

bool member_pool::can_open(std::string const& customer,
                           state::time_point now) const
{
    if (m_opening.contains(customer))
    {
        return true;
    }
    auto const denied = m_denied.find(customer);
    return (denied == m_denied.end() || denied->second <= now) &&
           now >= m_next_opening && max_connections() > 0 &&
           (m_all.size() + unnoticed_ends(now) < max_connections() ||
            !m_idle.empty());
}

double member_pool::opening_ms(state::time_point now) const
{
    // A lost member doesn't respond: the longer an opening takes, the sooner
    // the statements are sent to other members.
    double expected = m_opening_time.value_or(initial_opening_ms);
    for (auto const& [customer, started] : m_opening)
    {
        expected =
            std::max(expected, static_cast<double>((now - started).count()));
    }
    return expected;
}

void member_pool::open_if_needed(demand waiting, changed_handler const& changed)
{
    auto const now = state::clock::now();
    m_reclaim.clear();
    m_reclaim_count = 0;
    std::erase_if(m_denied,
                  [now](auto const& entry) { return entry.second <= now; });
    if (m_all.empty() && waiting.empty() && m_limits.m_connections > 0)
    {
        // Kept open to detect whether the member can be reached.
        waiting[{}] = {1, now};
    }
    if (!waiting.empty() && now >= m_next_opening)
    {
        for (auto& [customer, each] : waiting)
        {
            each.m_rate = m_activity.rate(customer, now);
            each.m_rate_of_others = m_activity.rate_of_others(customer, now);
        }
        assign(waiting, changed, now);
    }
}

coordination::connection_use
member_pool::use_of(std::shared_ptr<member_connection> const& connection,
                    state::time_point now) const
{
    using coordination::connection_phase;
    auto phase = connection_phase::opening;
    if (m_acquired.contains(connection))
    {
        phase = connection_phase::in_use;
    }
    else if (std::ranges::find(m_idle, connection) != m_idle.end())
    {
        phase = connection_phase::idle;
    }
    return {connection->customer(), phase, connection->last_used(),
            m_activity.rate(connection->customer(), now),
            connection->opened_at()};
}

void member_pool::assign(demand const& waiting, changed_handler const& changed,
                         state::time_point now)
{
    std::vector<std::shared_ptr<member_connection>> const all(m_all.begin(),
                                                              m_all.end());
    std::vector<coordination::connection_use> uses;
    uses.reserve(all.size());
    for (auto const& connection : all)
    {
        uses.push_back(use_of(connection, now));
    }
    coordination::connection_limits limits;
    auto const available =
        max_connections() - std::min(max_connections(), unnoticed_ends(now));
    limits.m_connections =
        std::max(available, std::min(uses.size(), max_connections()));
    limits.m_use_time = state::duration(std::llround(
        m_use_time.value_or(static_cast<double>(limits.m_use_time.count()))));
    auto const changes =
        coordination::connection_assignment(uses, waiting, limits, now)
            .decide();
    for (auto const index : changes.m_close)
    {
        ++m_counts.m_reassigned;
        all[index]->close();
        remove(all[index]);
    }
    for (auto const& customer : changes.m_open)
    {
        open_for(customer, changed);
    }
    m_reclaim = changes.m_reclaim;
    m_reclaim_count = changes.m_reclaim_count;
    for (auto const& customer : changes.m_denied)
    {
        m_denied[customer] = now + denial_time;
    }
}

void member_pool::open_for(std::string const& customer,
                           changed_handler const& changed)
{
    auto const started = state::clock::now();
    auto const connection = std::make_shared<member_connection>(m_context);
    m_all.insert(connection);
    m_opening[customer] = started;
    connection->open(m_member, customer,
                     [pool = weak_from_this(),
                      opening = std::weak_ptr(connection), changed,
                      started](opening_result result)
                     {
                         // The pool holds the connection, which holds this
                         // handler.
                         auto const self = pool.lock();
                         auto const opened = opening.lock();
                         if (!self || !opened)
                         {
                             if (opened)
                             {
                                 opened->close();
                             }
                             return;
                         }
                         if (result == opening_result::opened)
                         {
                             self->m_opening_time.add(static_cast<double>(
                                 (state::clock::now() - started).count()));
                         }
                         self->opened(opened, result);
                         changed();
                     });
}

void member_pool::opened(std::shared_ptr<member_connection> const& connection,
                         opening_result result)
{
    auto const now = state::clock::now();
    m_opening.erase(connection->customer());
    if (result == opening_result::opened)
    {
        ++m_counts.m_opened;
        m_opening_backoff = {};
        m_least_round_trip =
            std::min(m_least_round_trip.value_or(connection->round_trip()),
                     connection->round_trip());
        record_answer();
        m_idle.push_back(connection);
        connection->on_end(
            [pool = weak_from_this(), ended = std::weak_ptr(connection)]
            {
                if (auto const self = pool.lock())
                {
                    self->ended(ended.lock());
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

void member_pool::ended(std::shared_ptr<member_connection> const& connection)
{
    if (connection && connection->overdue())
    {
        auto const now = state::clock::now();
        ++m_counts.m_overdue;
        std::erase_if(m_overdue_ends,
                      [now](auto const& until) { return until <= now; });
        m_overdue_ends.push_back(
            now + std::max(connection->round_trip() * noticing_round_trips,
                           min_noticing_time));
    }
    remove(connection);
}

std::size_t member_pool::unnoticed_ends(state::time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_overdue_ends, [now](auto const& until) { return until > now; }));
}

state::duration member_pool::longest_use(state::time_point now) const
{
    state::duration longest{};
    for (auto const& entry : m_acquired)
    {
        longest = std::max(longest, now - entry.second);
    }
    return longest;
}

bool member_pool::exhausted() const
{
    return max_connections() > 0 && m_acquired.size() >= max_connections();
}

void member_pool::remove(std::shared_ptr<member_connection> const& connection)
{
    m_all.erase(connection);
    m_acquired.erase(connection);
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
    if (nearest)
    {
        auto const now = state::clock::now();
        std::erase(m_idle, nearest);
        m_acquired[nearest] = now;
        m_activity.record_use(customer, now);
    }
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
    m_acquired[connection] = state::clock::now();
    return connection;
}

bool member_pool::take_reclaim(std::string const& customer)
{
    bool const taken = m_reclaim_count > 0 && m_reclaim.contains(customer);
    if (taken)
    {
        --m_reclaim_count;
        ++m_counts.m_reassigned;
    }
    return taken;
}

void member_pool::release(std::shared_ptr<member_connection> const& connection,
                          bool clean)
{
    if (!connection->alive() || !m_all.contains(connection))
    {
        remove(connection);
        return;
    }
    if (!clean || m_all.size() > max_connections() || m_member.m_leaving ||
        take_reclaim(connection->customer()))
    {
        connection->close();
        remove(connection);
        return;
    }
    auto const acquired = m_acquired.find(connection);
    if (acquired != m_acquired.end())
    {
        m_use_time.add(static_cast<double>(
            (state::clock::now() - acquired->second).count()));
        m_acquired.erase(acquired);
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
        m_answered.add(m_last_finished);
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
    bool const accepts =
        m_in_flight + unnoticed_ends(now) < max_statements(now) &&
        now >= m_busy_until;
    bool const has_idle = idle_connections(customer) > 0;
    value.m_free = has_idle && accepts;
    if (m_limits.m_by_customer && !has_idle)
    {
        value.m_openable = accepts && can_open(customer, now);
        value.m_opening_ms = opening_ms(now);
    }
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
