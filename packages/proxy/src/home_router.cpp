#include <utility>

#include <camphortide/coordination/session/reply_decision.hpp>
#include <camphortide/proxy/home_router.hpp>

namespace camphortide::proxy
{

using state::statement_error;

namespace
{

/// How long other homes are preferred to an instance that wasn't reachable or
/// isn't a home: about the time that a process needs to start, and that the
/// records need to arrive.
constexpr state::duration failure_cooldown{1000};
/// Delay before a statement that none of the homes ran is sent again: they may
/// be starting, as this instance may have just done.
constexpr state::duration retry_delay{40};
/// How long other homes are preferred to one that is leaving: its grace period.
constexpr state::duration leaving_cooldown{6000};

} // namespace

home_router::home_router(boost::asio::io_context& context,
                         traffic_observer& observer)
    : m_context(context),
      m_observer(observer)
{
}

home_router::~home_router()
{
    *m_alive = false;
}

void home_router::apply(fleet_view const& view)
{
    std::erase_if(m_selectors,
                  [&](auto const& entry)
                  {
                      auto const homes = view.m_homes.find(entry.first);
                      return homes == view.m_homes.end() ||
                             homes->second.m_is_home;
                  });
    for (auto const& [group, homes] : view.m_homes)
    {
        if (!homes.m_is_home)
        {
            m_selectors[group].set_homes(homes.m_homes);
        }
    }
}

bool home_router::forwards(std::string const& group) const
{
    return m_selectors.contains(group);
}

void home_router::submit(request_pointer const& request)
{
    if (!request->m_bound)
    {
        send_to_home(request);
        return;
    }
    request->m_bound->m_home->submit(
        request,
        [this, request](forwarding_result outcome, statement_result result)
        {
            handle_result(request, {},
                          outcome == forwarding_result::not_run
                              ? forwarding_result::lost
                              : outcome,
                          std::move(result));
        });
}

void home_router::send_to_home(request_pointer const& request)
{
    auto const now = state::clock::now();
    auto const selector = m_selectors.find(request->m_route->m_group);
    auto const* const home =
        selector == m_selectors.end()
            ? nullptr
            : selector->second.choose(request->m_attempted_homes, now);
    auto const target = request->m_arrived + request->m_route->m_target_latency;
    if (home == nullptr && now + retry_delay < target)
    {
        retry_later(request);
        return;
    }
    if (home == nullptr || now >= request->m_deadline)
    {
        fail(request, {statement_error::busy, "no home in time"});
        return;
    }
    auto const link = link_to(*home);
    if (link->leaving())
    {
        selector->second.failed(home->m_name, leaving_cooldown, now);
        request->m_attempted_homes.push_back(home->m_name);
        send_to_home(request);
        return;
    }
    ++request->m_send_count;
    request->m_sent_at = now;
    link->submit(request,
                 [this, request, name = home->m_name](forwarding_result outcome,
                                                      statement_result result)
                 { handle_result(request, name, outcome, std::move(result)); });
}

void home_router::retry_later(request_pointer const& request)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_after(retry_delay);
    timer->async_wait(
        [this, timer, request, alive = m_alive](boost::system::error_code)
        {
            if (*alive)
            {
                request->m_attempted_homes.clear();
                send_to_home(request);
            }
        });
}

std::shared_ptr<home_link>
home_router::link_to(coordination::home_address const& home)
{
    auto& entry = m_links[home.m_name];
    if (entry && entry->usable() && entry->address() == home.m_address)
    {
        return entry;
    }
    auto link = std::make_shared<home_link>(m_context, home.m_address);
    if (auto const old = std::exchange(entry, link))
    {
        old->end(); // the instance has a new address, or the link failed
    }
    return link;
}

void home_router::handle_result(request_pointer const& request,
                                std::string const& home,
                                forwarding_result outcome,
                                statement_result result)
{
    if (outcome == forwarding_result::answered)
    {
        auto const done = std::exchange(request->m_done, nullptr);
        done(std::move(result));
        return;
    }
    if (auto const selector = m_selectors.find(request->m_route->m_group);
        selector != m_selectors.end() && !home.empty())
    {
        selector->second.failed(home, failure_cooldown, state::clock::now());
    }
    request->m_attempted_homes.push_back(home);
    if (outcome == forwarding_result::lost)
    {
        handle_lost(request, home);
        return;
    }
    m_observer.statement_sent_again(request->m_route->m_group, *request,
                                    "not run by home " + home);
    send_to_home(request);
}

void home_router::handle_lost(request_pointer const& request,
                              std::string const& home)
{
    auto const decision =
        coordination::evaluate_reply({request->m_kind, std::nullopt, false});
    if (decision.m_action == coordination::reply_decision::action::retry)
    {
        m_observer.statement_sent_again(request->m_route->m_group, *request,
                                        "lost with home " + home);
        send_to_home(request);
        return;
    }
    fail(request, *decision.m_failure);
}

void home_router::fail(request_pointer const& request,
                       state::statement_failure failure)
{
    statement_result result;
    result.m_reply.m_failure = std::move(failure);
    m_observer.statement_ended({request->m_route->m_group,
                                *request,
                                {},
                                false,
                                result.m_reply,
                                state::clock::now(),
                                {},
                                result.m_reply.m_failure->m_text});
    auto const done = std::exchange(request->m_done, nullptr);
    done(std::move(result));
}

void home_router::roll_back(bound_connection const& bound)
{
    bound.m_home->roll_back(bound.m_transaction);
}

void home_router::sweep(state::time_point now)
{
    auto const links = m_links;
    for (auto const& entry : links)
    {
        entry.second->check_liveness(now);
    }
    std::erase_if(m_links,
                  [](auto const& entry) { return !entry.second->usable(); });
}

} // namespace camphortide::proxy
