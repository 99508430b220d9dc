#include <utility>
#include <variant>

#include <camphortide/load/trace/group_scenario.hpp>

namespace camphortide::load
{

namespace
{

constexpr state::duration tick_interval{10};
constexpr state::duration one_way_latency{1};
constexpr state::duration drain_time{5};
constexpr std::size_t max_records = 1000;
constexpr state::term initial_term{std::uint64_t{1} << state::term::tag_bits};
constexpr char const* initial_proposer = "initial";
constexpr char const* rival = "rival";
constexpr std::uint64_t rival_tag = 77;
constexpr std::uint64_t own_tag = 5;

trace_header make_header(std::string name)
{
    trace_header result;
    result.m_name = std::move(name);
    result.m_proposer = "entry-1";
    result.m_tag = own_tag;
    result.m_seed = 1;
    result.m_members = {"a", "b", "c"};
    return result;
}

} // namespace

group_scenario::group_scenario(std::string name, std::ostream& to)
    : m_now(state::duration(1000)),
      m_monitor(*build_monitor(make_header(name))),
      m_recorder(to, make_header(std::move(name)))
{
    for (auto const* const each : {"a", "b", "c"})
    {
        auto& added =
            m_members
                .try_emplace(each,
                             simulated_member{standin::member_model(each)})
                .first->second;
        added.m_last_heard = m_now;
        added.m_model.fence(initial_term, initial_proposer);
    }
    m_members.at("a").m_model.promote(initial_term, initial_proposer);
    m_members.at("b").m_model.follow(initial_term, "a");
    m_members.at("c").m_model.follow(initial_term, "a");
}

void group_scenario::run_for(state::duration time)
{
    auto const end = m_now + time;
    while (m_now < end)
    {
        advance();
    }
}

void group_scenario::write(int count)
{
    for (auto& [name, each] : m_members)
    {
        bool const is_primary =
            !each.m_down && each.m_model.role() == state::member_role::primary;
        for (int done = 0; is_primary && done < count; ++done)
        {
            each.m_model.write(each.m_model.followed(), {}, {"add row 1"});
        }
    }
}

void group_scenario::set_down(std::string const& member, bool down)
{
    auto& found = m_members.at(member);
    found.m_down = down;
    found.m_last_heard = m_now;
    if (!down)
    {
        found.m_model.restart();
        return;
    }
    feed(unreachable_input{member});
}

void group_scenario::isolate(std::string const& member, bool isolated)
{
    m_members.at(member).m_isolated = isolated;
}

void group_scenario::cut_off(std::string const& member, bool cut)
{
    m_members.at(member).m_cut_off = cut;
}

void group_scenario::hold_records(std::string const& member, bool held)
{
    m_members.at(member).m_held = held;
}

void group_scenario::set_leaving(std::string const& member, bool leaving)
{
    m_members.at(member).m_leaving = leaving;
}

void group_scenario::pause(state::duration time)
{
    m_paused = true;
    run_for(time);
    m_paused = false;
}

void group_scenario::rival_fence(std::string const& member)
{
    auto& model = m_members.at(member).m_model;
    model.fence(model.status().m_granted.next(rival_tag), rival);
}

void group_scenario::switch_over(std::string const& target)
{
    feed(switchover_input{target});
}

void group_scenario::finish()
{
    m_recorder.finish(outcome_of(m_monitor));
}

void group_scenario::run_after(state::duration delay, task run)
{
    m_tasks.emplace(m_now + delay, std::move(run));
}

void group_scenario::advance()
{
    m_now += state::duration(1);
    replicate();
    while (!m_paused && !m_tasks.empty() && m_tasks.begin()->first <= m_now)
    {
        auto const next = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        next();
    }
    if (!m_paused &&
        m_now.time_since_epoch() % tick_interval == state::duration::zero())
    {
        feed(tick_input{});
    }
}

void group_scenario::replicate()
{
    for (auto& [name, from] : m_members)
    {
        if (from.m_down || from.m_isolated ||
            from.m_model.role() != state::member_role::primary)
        {
            continue;
        }
        for (auto& [other, to] : m_members)
        {
            if (other != name && !to.m_down && !to.m_isolated)
            {
                replicate(from, to);
            }
        }
    }
}

void group_scenario::replicate(simulated_member& from, simulated_member& to)
{
    if (to.m_model.primary() != from.m_model.name() ||
        to.m_model.followed() != from.m_model.followed())
    {
        return;
    }
    to.m_last_heard = m_now;
    auto after = to.m_model.status().m_received.m_index;
    for (int tries = 0; !to.m_held && tries < 2; ++tries)
    {
        auto const message = from.m_model.replicate(after, max_records);
        auto const next = message ? to.m_model.receive(*message) : std::nullopt;
        if (!next || *next >= after)
        {
            break;
        }
        after = *next;
    }
    to.m_model.apply_to(to.m_model.status().m_received.m_index);
}

void group_scenario::feed(monitor_input const& input)
{
    auto const actions = step(m_monitor, input, m_now);
    m_recorder.step(input, actions, m_now);
    for (auto const& action : actions)
    {
        std::visit([this](auto const& value) { perform(value); }, action);
    }
}

state::member_status group_scenario::status_of(simulated_member const& of,
                                               std::uint64_t probe) const
{
    auto status = of.m_model.status();
    status.m_leaving = of.m_leaving;
    status.m_probe = probe;
    if (status.m_role != state::member_role::primary)
    {
        status.m_primary_silence = m_now - of.m_last_heard;
    }
    return status;
}

void group_scenario::call(std::string const& name,
                          std::function<void(simulated_member&)> run)
{
    run_after(one_way_latency,
              [this, name, run = std::move(run)]
              {
                  auto& to = m_members.at(name);
                  if (!to.m_down && !to.m_cut_off)
                  {
                      run(to);
                  }
              });
}

void group_scenario::perform(coordination::send_probe const& action)
{
    call(action.m_member,
         [this, probe = action.m_probe](simulated_member& to)
         {
             run_after(one_way_latency, [this, status = status_of(to, probe)]
                       { feed(status_input{status}); });
         });
}

void group_scenario::perform(coordination::send_fence const& action)
{
    call(action.m_member,
         [this, action](simulated_member& to)
         {
             bool const granted =
                 to.m_model.fence(action.m_term, action.m_proposer);
             run_after(one_way_latency,
                       [this, action, granted, status = status_of(to, 0)] {
                           feed(fence_input{action.m_term, granted, status});
                       });
         });
}

void group_scenario::perform(coordination::send_promote const& action)
{
    call(action.m_member,
         [this, action](simulated_member& to)
         {
             bool const done =
                 to.m_model.promote(action.m_term, action.m_proposer);
             run_after(one_way_latency,
                       [this, action, done, status = status_of(to, 0)] {
                           feed(promote_input{action.m_term, done, status});
                       });
         });
}

void group_scenario::perform(coordination::send_follow const& action)
{
    call(action.m_member,
         [this, action](simulated_member& to)
         {
             to.m_model.follow(action.m_term, action.m_primary);
             to.m_last_heard = m_now;
             run_after(one_way_latency, [this, status = status_of(to, 0)]
                       { feed(follow_input{status}); });
         });
}

void group_scenario::perform(coordination::pause_writes const&)
{
    run_after(drain_time, [this] { feed(drained_input{}); });
}

} // namespace camphortide::load
