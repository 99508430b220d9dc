#include "allowance_simulation.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace tests
{

using coordination::allowance_result;
using state::duration;

namespace
{

constexpr duration step_length{5};
constexpr duration answer_timeout{60};
constexpr duration tick{100};
/// Longest time until an instance's records show a change.
constexpr std::uint64_t max_view_delay_ms = 5000;
constexpr std::size_t max_positions = 3;
char const* const customer = "customer";

} // namespace

allowance_simulation::allowance_simulation(allowance_scenario scenario)
    : m_scenario(scenario),
      m_limit(scenario.m_limit),
      m_random(scenario.m_seed),
      m_instances(scenario.m_instances),
      m_order(scenario.m_instances)
{
    std::iota(m_order.begin(), m_order.end(), 0);
    auto const key = coordination::hash_name(customer);
    std::ranges::sort(m_order, std::greater<>(),
                      [&](std::size_t index)
                      {
                          return coordination::rendezvous_score(
                              key, coordination::hash_name(name(index)));
                      });
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        m_instances[i].m_view.assign(m_instances.size(), true);
        m_instances[i].m_change_seen.assign(m_instances.size(), 0);
        start(i);
        // All processes have run for a while.
        m_instances[i].m_keeper =
            std::make_unique<coordination::allowance_keeper>(
                m_settings, now() - duration(60000));
    }
    set_demand(0, m_instances.size(), scenario.m_demand);
}

std::string allowance_simulation::name(std::size_t index) const
{
    return "edge-" + std::to_string(index);
}

void allowance_simulation::start(std::size_t index)
{
    auto& each = m_instances[index];
    each.m_running = true;
    ++each.m_process;
    each.m_waiting = 0;
    each.m_account =
        std::make_unique<coordination::allowance_account>(name(index));
    auto const started = m_scenario.m_omitted == omitted_guard::restriction
                             ? now() - duration(60000)
                             : now();
    each.m_keeper =
        std::make_unique<coordination::allowance_keeper>(m_settings, started);
}

void allowance_simulation::set_demand(std::size_t first, std::size_t last,
                                      double per_second)
{
    // The instances have uneven parts of it.
    double total = 0;
    for (std::size_t i = first; i < last; ++i)
    {
        total += 1.0 + static_cast<double>(i % 3);
    }
    for (std::size_t i = first; i < last; ++i)
    {
        m_instances[i].m_demand =
            per_second * (1.0 + static_cast<double>(i % 3)) / total;
    }
}

void allowance_simulation::kill(std::size_t index)
{
    m_instances[index].m_running = false;
    spread_view(index, false);
}

void allowance_simulation::restart(std::size_t index)
{
    start(index);
    spread_view(index, true);
}

void allowance_simulation::spread_view(std::size_t changed, bool running)
{
    auto const number = ++m_last_change;
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        auto const learn = [this, i, changed, running, number]
        {
            auto& each = m_instances[i];
            if (each.m_change_seen[changed] > number)
            {
                return; // records never go back
            }
            each.m_change_seen[changed] = number;
            each.m_view[changed] = running;
            if (m_scenario.m_omitted != omitted_guard::restriction)
            {
                each.m_keeper->instances_changed(!running, 0, now());
            }
        };
        if (i == changed)
        {
            learn();
        }
        else
        {
            later(duration(m_random.below(max_view_delay_ms)), learn);
        }
    }
}

bool allowance_simulation::reaches(std::size_t from, std::size_t to) const
{
    return m_instances[to].m_running && m_part_of(from) == m_part_of(to);
}

void allowance_simulation::later(duration after, std::function<void()> action)
{
    m_events.emplace(m_now + after, std::move(action));
}

duration allowance_simulation::delay()
{
    auto const most =
        static_cast<std::uint64_t>(m_scenario.m_max_delay.count());
    return duration(1 + m_random.below(most));
}

double allowance_simulation::uniform()
{
    constexpr std::uint64_t steps = std::uint64_t{1} << 30;
    return static_cast<double>(m_random.below(steps)) / steps;
}

void allowance_simulation::run_until(duration time)
{
    while (m_now - m_origin < time)
    {
        step();
    }
}

void allowance_simulation::step()
{
    m_now += step_length;
    while (!m_events.empty() && m_events.begin()->first <= m_now)
    {
        auto const action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    for (std::size_t i = 0; i < m_instances.size(); ++i)
    {
        if (m_instances[i].m_running)
        {
            arrivals(i);
            if (m_now % tick == duration(0))
            {
                send_due_request(i);
                m_instances[i].m_keeper->sweep(now());
                m_instances[i].m_account->sweep(now());
            }
        }
    }
}

void allowance_simulation::arrivals(std::size_t index)
{
    double const mean = m_instances[index].m_demand *
                        static_cast<double>(step_length.count()) / 1000.0;
    // A Poisson number, by multiplying uniform ones.
    double product = uniform();
    double const bound = std::exp(-mean);
    while (product > bound)
    {
        operation(index);
        product *= uniform();
    }
}

void allowance_simulation::operation(std::size_t index)
{
    auto& each = m_instances[index];
    auto const decision = each.m_account->take(customer, now());
    if (decision.m_result == allowance_result::granted)
    {
        m_admitted.push_back(m_now - m_origin);
    }
    else if (decision.m_result == allowance_result::waiting)
    {
        ++each.m_waiting;
        send_due_request(index);
    }
}

void allowance_simulation::send_due_request(std::size_t index)
{
    auto& each = m_instances[index];
    auto request = each.m_account->request(customer, each.m_waiting, now());
    if (request)
    {
        if (m_scenario.m_omitted == omitted_guard::reservation)
        {
            request->m_rate = 0;
        }
        send_request(index, *request, 0);
    }
}

std::vector<std::size_t> allowance_simulation::order_of(std::size_t index) const
{
    std::vector<std::size_t> order;
    std::ranges::copy_if(m_order, std::back_inserter(order),
                         [&](std::size_t each)
                         { return m_instances[index].m_view[each]; });
    return order;
}

void allowance_simulation::send_request(
    std::size_t index, coordination::allowance_request const& request,
    std::size_t position)
{
    auto const order = order_of(index);
    auto const process = m_instances[index].m_process;
    if (position >= std::min(order.size(), max_positions))
    {
        m_instances[index].m_account->unanswered(request, now());
        release_waiting(index);
        return;
    }
    auto const to = order[position];
    auto const sent = now();
    auto const answered = std::make_shared<bool>(false);
    m_messages += 2; // the request and its answer
    later(delay(),
          [this, index, to, request, sent, answered, process]
          {
              if (!reaches(index, to))
              {
                  return;
              }
              bool const is_keeper = order_of(to).front() == to;
              auto const grant = m_instances[to].m_keeper->handle(
                  name(index), request, m_limit, is_keeper, now());
              announce_if_due(to);
              later(delay(),
                    [this, index, to, grant, sent, answered, process, is_keeper]
                    {
                        if (reaches(to, index) &&
                            m_instances[index].m_process == process &&
                            !*answered)
                        {
                            *answered = true;
                            answer(index, process, grant, sent, is_keeper);
                        }
                    });
          });
    later(std::max(answer_timeout, m_scenario.m_max_delay * 2 + step_length),
          [this, index, request, position, answered, process]
          {
              if (!std::exchange(*answered, true) &&
                  m_instances[index].m_process == process &&
                  m_instances[index].m_running)
              {
                  auto const& account = m_instances[index].m_account;
                  send_request(index,
                               position == 0
                                   ? account->keeper_unanswered(request, now())
                                   : request,
                               position + 1);
              }
          });
}

void allowance_simulation::announce_if_due(std::size_t index)
{
    if (!m_instances[index].m_keeper->must_announce(customer, now()))
    {
        return;
    }
    auto const order = order_of(index);
    for (std::size_t i = 1; i < std::min(order.size(), max_positions); ++i)
    {
        ++m_messages;
        later(delay(),
              [this, index, to = order[i]]
              {
                  if (reaches(index, to))
                  {
                      m_instances[to].m_keeper->note_announcement(customer,
                                                                  now());
                  }
              });
    }
}

void allowance_simulation::answer(std::size_t index, std::uint64_t process,
                                  coordination::allowance_grant const& grant,
                                  state::time_point sent, bool by_keeper)
{
    if (m_instances[index].m_process == process && m_instances[index].m_running)
    {
        m_instances[index].m_account->answered(customer, grant, sent, by_keeper,
                                               now());
        release_waiting(index);
    }
}

void allowance_simulation::release_waiting(std::size_t index)
{
    auto const waiting = std::exchange(m_instances[index].m_waiting, 0);
    for (std::size_t i = 0; i < waiting; ++i)
    {
        operation(index);
    }
}

std::size_t allowance_simulation::busiest_window(duration window) const
{
    std::size_t most = 0;
    auto first = m_admitted.begin();
    for (auto last = m_admitted.begin(); last != m_admitted.end(); ++last)
    {
        while (*last - *first > window)
        {
            ++first;
        }
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
}

std::size_t allowance_simulation::admitted(duration from, duration until) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_admitted, [&](duration at) { return at >= from && at < until; }));
}

} // namespace tests
