#include <utility>

#include <camphortide/coordination/session/reply_decision.hpp>
#include <camphortide/proxy/home_router.hpp>

namespace camphortide::proxy
{

using state::statement_error;

namespace
{

/// How long a home that wasn't reached, or isn't one, is asked after others:
/// about what a process needs to start, and the records to arrive.
constexpr state::duration failed_pause{1000};
/// Pause before the homes are asked again, when none of them ran a statement:
/// they may just start, as this instance did.
constexpr state::duration again_pause{40};
/// How long a home that leaves is asked after others: its grace.
constexpr state::duration leaving_pause{6000};

} // namespace

home_router::home_router(boost::asio::io_context& context,
                         traffic_report& report)
    : m_context(context),
      m_report(report)
{
}

home_router::~home_router()
{
    *m_alive = false;
}

void home_router::apply(fleet_view const& view)
{
    std::erase_if(m_choices,
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
            m_choices[group].set_homes(homes.m_homes);
        }
    }
}

bool home_router::forwards(std::string const& group) const
{
    return m_choices.contains(group);
}

void home_router::submit(request_pointer const& request)
{
    if (!request->m_bound)
    {
        place(request);
        return;
    }
    request->m_bound->m_home->submit(
        request,
        [this, request](forwarding_end how, statement_result result)
        {
            ended(request, {},
                  how == forwarding_end::not_run ? forwarding_end::lost : how,
                  std::move(result));
        });
}

void home_router::place(request_pointer const& request)
{
    auto const now = state::clock::now();
    auto const choice = m_choices.find(request->m_route->m_group);
    auto const* const home =
        choice == m_choices.end()
            ? nullptr
            : choice->second.choose(request->m_tried_homes, now);
    auto const target = request->m_arrived + request->m_route->m_target_latency;
    if (home == nullptr && now + again_pause < target)
    {
        place_later(request);
        return;
    }
    if (home == nullptr || now >= request->m_latest)
    {
        tell(request, {statement_error::busy, "no home in time"});
        return;
    }
    auto const link = link_to(*home);
    if (link->leaving())
    {
        choice->second.failed(home->m_name, leaving_pause, now);
        request->m_tried_homes.push_back(home->m_name);
        place(request);
        return;
    }
    ++request->m_sendings;
    request->m_sent = now;
    link->submit(request, [this, request, name = home->m_name](
                              forwarding_end how, statement_result result)
                 { ended(request, name, how, std::move(result)); });
}

void home_router::place_later(request_pointer const& request)
{
    auto const timer = std::make_shared<boost::asio::steady_timer>(m_context);
    timer->expires_after(again_pause);
    timer->async_wait(
        [this, timer, request, alive = m_alive](boost::system::error_code)
        {
            if (*alive)
            {
                request->m_tried_homes.clear();
                place(request);
            }
        });
}

std::shared_ptr<home_link>
home_router::link_to(coordination::home_address const& home)
{
    auto& place = m_links[home.m_name];
    if (place && place->usable() && place->address() == home.m_address)
    {
        return place;
    }
    auto link = std::make_shared<home_link>(m_context, home.m_address);
    if (auto const old = std::exchange(place, link))
    {
        old->end(); // the name is at another address now
    }
    return link;
}

void home_router::ended(request_pointer const& request, std::string const& home,
                        forwarding_end how, statement_result result)
{
    if (how == forwarding_end::answered)
    {
        auto const done = std::exchange(request->m_done, nullptr);
        done(std::move(result));
        return;
    }
    if (auto const choice = m_choices.find(request->m_route->m_group);
        choice != m_choices.end() && !home.empty())
    {
        choice->second.failed(home, failed_pause, state::clock::now());
    }
    request->m_tried_homes.push_back(home);
    if (how == forwarding_end::lost)
    {
        lost(request, home);
        return;
    }
    m_report.statement_sent_again(request->m_route->m_group, *request,
                                  "not run by home " + home);
    place(request);
}

void home_router::lost(request_pointer const& request, std::string const& home)
{
    auto const verdict =
        coordination::evaluate_reply({request->m_kind, std::nullopt, false});
    if (verdict.m_action == coordination::reply_decision::action::retry)
    {
        m_report.statement_sent_again(request->m_route->m_group, *request,
                                      "lost with home " + home);
        place(request);
        return;
    }
    tell(request, *verdict.m_failure);
}

void home_router::tell(request_pointer const& request,
                       state::statement_failure why)
{
    statement_result result;
    result.m_reply.m_failure = std::move(why);
    m_report.statement_ended({request->m_route->m_group,
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
        entry.second->check(now);
    }
    std::erase_if(m_links,
                  [](auto const& entry) { return !entry.second->usable(); });
}

} // namespace camphortide::proxy
