#include <algorithm>
#include <utility>

#include <camphortide/coordination/session/reply_decision.hpp>
#include <camphortide/proxy/home_router.hpp>

namespace camphortide::proxy
{

using state::statement_error;

namespace
{

/// Delay before a statement that no home could take is sent again: the homes
/// may be starting, as this instance may have just done.
constexpr state::duration retry_delay{40};
/// A statement waits for a home for at most this part of its target latency.
/// After that its caller does better to try another instance, whose links may
/// work.
constexpr int waiting_divisor = 4;
/// Interval between the checks of links with unanswered statements.
constexpr state::duration check_interval{20};

} // namespace

home_router::home_router(boost::asio::io_context& context,
                         traffic_observer& observer, run_handler run_here)
    : m_context(context),
      m_observer(observer),
      m_run_here(std::move(run_here)),
      m_check_timer(context)
{
}

home_router::~home_router()
{
    *m_alive = false;
}

void home_router::apply(fleet_view const& view)
{
    if (!view.m_homes || view.m_homes == m_homes)
    {
        return;
    }
    m_homes = view.m_homes;
    std::erase_if(m_selectors,
                  [this](auto const& entry)
                  {
                      auto const homes = m_homes->find(entry.first);
                      return homes == m_homes->end() || homes->second.m_is_home;
                  });
    for (auto const& [group, homes] : *m_homes)
    {
        if (!homes.m_is_home)
        {
            m_selectors[group].update(homes);
        }
    }
}

bool home_router::forwards(std::string const& group) const
{
    return m_selectors.contains(group);
}

bool home_router::stands_in(std::string const& group) const
{
    auto const selector = m_selectors.find(group);
    return selector != m_selectors.end() && selector->second.stands_in();
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
                          outcome == forwarding_result::answered
                              ? outcome
                              : forwarding_result::lost,
                          std::move(result));
        });
}

coordination::home_state
home_router::not_connected_state(std::string const& home,
                                 state::time_point now) const
{
    using coordination::home_state;
    if (m_reachability.avoids(home, now))
    {
        return home_state::avoided;
    }
    return m_reachability.has_failed(home) ? home_state::recovering
                                           : home_state::available;
}

coordination::home_state
home_router::state_of(coordination::home_address const& home,
                      state::time_point now)
{
    using coordination::home_state;
    auto const found = m_links.find(home.m_name);
    if (found == m_links.end() || !found->second->usable() ||
        found->second->address() != home.m_address)
    {
        return not_connected_state(home.m_name, now);
    }
    auto const& link = *found->second;
    if (link.leaving() || link.suspect())
    {
        return home_state::avoided;
    }
    if (!link.responsive())
    {
        return m_reachability.has_failed(home.m_name) ? home_state::recovering
                                                      : home_state::available;
    }
    m_reachability.responded(home.m_name);
    return home_state::connected;
}

coordination::group_choice home_router::choose(statement_request const& request,
                                               state::time_point now)
{
    auto const selector = m_selectors.find(request.m_route->m_group);
    if (selector == m_selectors.end())
    {
        return {};
    }
    return selector->second.choose(
        request.m_attempted_homes,
        [&](auto const& home) { return state_of(home, now); }, now);
}

bool home_router::cut_off(std::string const& group) const
{
    auto const selector = m_selectors.find(group);
    return selector != m_selectors.end() &&
           selector->second.cut_off(
               [this](auto const& each)
               { return m_reachability.is_silent(each.m_name); });
}

void home_router::send_to_home(request_pointer const& request)
{
    auto const now = state::clock::now();
    if (now >= request->m_deadline)
    {
        fail(request, {statement_error::busy, "no home in time"});
        return;
    }
    auto const choice = choose(*request, now);
    if (choice.m_connect != nullptr)
    {
        link_to(*choice.m_connect)->open();
        check_links();
    }
    if (choice.m_run_here)
    {
        m_run_here(request);
        return;
    }
    if (choice.m_instance == nullptr)
    {
        auto const patience =
            request->m_route->m_target_latency / waiting_divisor;
        if (now + retry_delay < request->m_arrived + patience)
        {
            retry_later(request);
        }
        else if (cut_off(request->m_route->m_group))
        {
            m_run_here(request);
        }
        else
        {
            fail(request, {statement_error::busy, "no home responds"});
        }
        return;
    }
    ++request->m_send_count;
    request->m_sent_at = now;
    request->m_no_home = choice.m_no_home;
    link_to(*choice.m_instance)
        ->submit(request,
                 [this, request, name = choice.m_instance->m_name](
                     forwarding_result outcome, statement_result result)
                 { handle_result(request, name, outcome, std::move(result)); });
    check_links();
}

void home_router::check_links()
{
    if (m_checking)
    {
        return;
    }
    m_checking = true;
    m_check_timer.expires_after(check_interval);
    m_check_timer.async_wait(
        [this, alive = m_alive](boost::system::error_code)
        {
            if (!*alive)
            {
                return;
            }
            m_checking = false;
            sweep(state::clock::now());
            if (std::ranges::any_of(m_links, [](auto const& entry)
                                    { return entry.second->needs_check(); }))
            {
                check_links();
            }
        });
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
    auto link = std::make_shared<home_link>(
        m_context, home.m_address,
        [this, name = home.m_name,
         alive = m_alive](coordination::link_failure failure)
        {
            if (*alive)
            {
                m_reachability.failed(name, failure, state::clock::now());
            }
        });
    if (auto const old = std::exchange(entry, link))
    {
        // The instance has a new address, or the link has failed.
        old->end(coordination::link_failure::ended);
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
        selector != m_selectors.end() && outcome == forwarding_result::not_home)
    {
        selector->second.refused(home, state::clock::now());
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

std::shared_ptr<home_link>
home_router::link_for_messages(coordination::home_address const& instance,
                               state::time_point now)
{
    using coordination::home_state;
    auto const state = state_of(instance, now);
    if (state == home_state::avoided)
    {
        return nullptr;
    }
    auto link = link_to(instance);
    link->open();
    check_links();
    return state == home_state::recovering ? nullptr : link;
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
