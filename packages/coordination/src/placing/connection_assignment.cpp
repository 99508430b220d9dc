#include <algorithm>
#include <cmath>
#include <tuple>

#include <camphortide/coordination/placing/connection_assignment.hpp>

namespace camphortide::coordination
{

namespace
{

double mean_in_use(double rate, state::duration use_time)
{
    return rate * static_cast<double>(use_time.count()) / 1000;
}

/// @return the probability that all of a number of connections are in use, by
///     Erlang's loss formula
double all_in_use(std::size_t connections, double mean)
{
    double probability = 1;
    for (std::size_t count = 1; count <= connections; ++count)
    {
        probability = mean * probability /
                      (static_cast<double>(count) + mean * probability);
    }
    return probability;
}

} // namespace

connection_assignment::connection_assignment(
    std::vector<connection_use> const& connections,
    waiting_customers const& waiting, connection_limits limits,
    state::time_point now)
    : m_connections(connections),
      m_waiting(waiting),
      m_limits(limits),
      m_now(now),
      m_total(connections.size())
{
    for (auto const& connection : connections)
    {
        auto& held = m_holdings[connection.m_customer];
        ++held.m_total;
        held.m_opened = std::max(held.m_opened, connection.m_opened);
        switch (connection.m_phase)
        {
        case connection_phase::opening:
            ++held.m_opening;
            ++m_opening;
            break;
        case connection_phase::idle:
            ++held.m_idle;
            break;
        case connection_phase::in_use:
            ++held.m_in_use;
            break;
        }
    }
}

connection_changes connection_assignment::decide()
{
    if (m_limits.m_connections == 0)
    {
        return m_changes;
    }
    for (auto const* customer : customers_in_need())
    {
        if (m_opening >= m_limits.m_openings)
        {
            break;
        }
        if (!may_grow(*customer) || !make_room(*customer))
        {
            deny(*customer);
            continue;
        }
        auto& held = m_holdings[customer->first];
        ++held.m_total;
        ++held.m_opening;
        ++m_total;
        ++m_opening;
        m_changes.m_open.push_back(customer->first);
    }
    return m_changes;
}

std::vector<connection_assignment::waiting_entry const*>
connection_assignment::customers_in_need() const
{
    static holding const none;
    auto const holding_of = [this](std::string const& customer) -> auto const&
    {
        auto const it = m_holdings.find(customer);
        return it == m_holdings.end() ? none : it->second;
    };
    std::vector<waiting_entry const*> result;
    for (auto const& entry : m_waiting)
    {
        auto const& held = holding_of(entry.first);
        if (held.m_opening == 0 && entry.second.m_statements > held.m_idle)
        {
            result.push_back(&entry);
        }
    }
    std::ranges::stable_sort(result, {},
                             [&](auto const* entry)
                             {
                                 return std::tuple(
                                     holding_of(entry->first).m_total,
                                     entry->second.m_send_by);
                             });
    return result;
}

bool connection_assignment::may_grow(waiting_entry const& customer) const
{
    auto const it = m_holdings.find(customer.first);
    if (it == m_holdings.end() || it->second.m_total == 0)
    {
        return true;
    }
    auto const& [name, waiting] = customer;
    auto const limit = static_cast<double>(m_limits.m_connections);
    auto const others =
        mean_in_use(waiting.m_rate_of_others, m_limits.m_use_time);
    // The mean plus its standard deviation: the number in use varies about as
    // in a Poisson distribution.
    double const room = std::ceil(others + std::sqrt(others));
    double const all = waiting.m_rate + waiting.m_rate_of_others;
    double const proportional =
        all > 0 ? std::floor(limit * waiting.m_rate / all) : limit;
    double const share = std::max({1.0, limit - room, proportional});
    return static_cast<double>(it->second.m_total) < share;
}

bool connection_assignment::make_room(waiting_entry const& customer)
{
    while (m_total >= m_limits.m_connections)
    {
        auto index = least_needed();
        if (!index)
        {
            index = least_entitled(customer);
        }
        if (!index)
        {
            return false;
        }
        close(*index);
    }
    return true;
}

double
connection_assignment::expected_use(connection_use const& connection) const
{
    auto const held = m_holdings.at(connection.m_customer).m_total;
    return connection.m_rate *
           all_in_use(held - 1,
                      mean_in_use(connection.m_rate, m_limits.m_use_time));
}

std::optional<std::size_t> connection_assignment::least_needed() const
{
    std::optional<std::size_t> result;
    std::pair<double, state::time_point> least;
    for (std::size_t index = 0; index < m_connections.size(); ++index)
    {
        auto const& each = m_connections[index];
        if (each.m_phase != connection_phase::idle ||
            m_closed.contains(index) || m_waiting.contains(each.m_customer))
        {
            continue;
        }
        std::pair const value{expected_use(each), each.m_last_used};
        if (!result || value < least)
        {
            result = index;
            least = value;
        }
    }
    return result;
}

bool connection_assignment::yields(std::string const& holder,
                                   waiting_entry const& customer) const
{
    auto const it = m_holdings.find(customer.first);
    bool const has_none = it == m_holdings.end() || it->second.m_total == 0;
    if (!has_none || holder == customer.first)
    {
        return false;
    }
    auto const& held = m_holdings.at(holder);
    if (held.m_total > 1)
    {
        return true;
    }
    auto const send_by = customer.second.m_send_by;
    return m_now - held.m_opened >= tenure && send_by - m_now <= urgency &&
           send_by < m_waiting.at(holder).m_send_by;
}

std::optional<std::size_t>
connection_assignment::least_entitled(waiting_entry const& customer) const
{
    std::optional<std::size_t> result;
    std::pair<std::size_t, state::time_point> least;
    for (std::size_t index = 0; index < m_connections.size(); ++index)
    {
        auto const& each = m_connections[index];
        if (each.m_phase != connection_phase::idle ||
            m_closed.contains(index) || !m_waiting.contains(each.m_customer) ||
            !yields(each.m_customer, customer))
        {
            continue;
        }
        std::pair const value{m_holdings.at(each.m_customer).m_total,
                              m_waiting.at(each.m_customer).m_send_by};
        if (!result || value > least)
        {
            result = index;
            least = value;
        }
    }
    return result;
}

void connection_assignment::close(std::size_t index)
{
    auto& held = m_holdings.at(m_connections[index].m_customer);
    --held.m_total;
    --held.m_idle;
    --m_total;
    m_closed.insert(index);
    m_changes.m_close.push_back(index);
}

void connection_assignment::deny(waiting_entry const& customer)
{
    m_changes.m_denied.push_back(customer.first);
    if (m_changes.m_reclaim_count >= m_limits.m_openings)
    {
        return;
    }
    auto holders = holders_in_use(customer);
    if (!holders.empty())
    {
        ++m_changes.m_reclaim_count;
        m_changes.m_reclaim.merge(holders);
    }
}

std::set<std::string>
connection_assignment::holders_in_use(waiting_entry const& customer) const
{
    std::set<std::string> result;
    std::size_t most = 1;
    for (auto const& [holder, held] : m_holdings)
    {
        if (held.m_in_use == 0 || held.m_total < most ||
            !m_waiting.contains(holder) || !yields(holder, customer))
        {
            continue;
        }
        if (held.m_total > most)
        {
            most = held.m_total;
            result.clear();
        }
        result.insert(holder);
    }
    return result;
}

} // namespace camphortide::coordination
