#include <algorithm>
#include <stdexcept>
#include <utility>

#include <camphortide/standin/group/group_server.hpp>

namespace camphortide::standin
{

namespace
{

constexpr std::chrono::milliseconds heartbeat_interval{50};
constexpr std::size_t max_records = 1000;
constexpr state::term initial_term{1U << state::term::tag_bits};
constexpr char const* initial_proposer = "initial";

} // namespace

group_server::group_server(group_options options)
    : m_options(std::move(options))
{
    for (auto const& name : m_options.m_members)
    {
        auto member = std::make_unique<member_server>(*this, name);
        member->m_receive_lag = m_options.m_receive_lag;
        member->m_apply_lag = m_options.m_apply_lag;
        member->m_statement_time = m_options.m_statement_time;
        m_members.push_back(std::move(member));
    }
    if (m_options.m_initial_primary)
    {
        for (auto const& member : m_members)
        {
            member->m_model.fence(initial_term, initial_proposer);
        }
        auto& first = m_members.front()->m_model;
        first.promote(initial_term, initial_proposer);
        replicate_from(*m_members.front());
    }
    for (auto const& member : m_members)
    {
        member->start();
    }
    schedule_heartbeat();
}

group_server::~group_server()
{
    m_timers.stop();
    for (auto const& member : m_members)
    {
        member->stop();
    }
}

std::string group_server::address(std::string const& member) const
{
    return find(member).address();
}

void group_server::kill(std::string const& member)
{
    find(member).stop();
}

void group_server::restart(std::string const& member)
{
    find(member).start();
}

void group_server::pause(std::string const& member, bool paused)
{
    std::scoped_lock const lock(m_mutex);
    auto& found = find(member);
    found.m_paused = paused;
    if (!paused)
    {
        found.m_last_primary_contact =
            member_server::monotonic_time::clock::now();
    }
    found.run_deferred();
}

void group_server::cut_from_members(std::string const& member, bool cut)
{
    std::scoped_lock const lock(m_mutex);
    find(member).m_cut_from_members = cut;
}

void group_server::cut_from_instances(std::string const& member, bool cut)
{
    std::scoped_lock const lock(m_mutex);
    auto& found = find(member);
    found.m_cut_from_instances = cut;
    found.run_deferred();
}

void group_server::set_leaving(std::string const& member, bool leaving)
{
    std::scoped_lock const lock(m_mutex);
    auto& found = find(member);
    found.m_leaving = leaving;
    found.notify();
}

void group_server::set_lag(std::string const& member,
                           std::chrono::microseconds receive,
                           std::chrono::microseconds apply)
{
    std::scoped_lock const lock(m_mutex);
    auto& found = find(member);
    found.m_receive_lag = receive;
    found.m_apply_lag = apply;
}

void group_server::set_statement_time(std::string const& member,
                                      std::chrono::microseconds time)
{
    std::scoped_lock const lock(m_mutex);
    find(member).m_statement_time = time;
}

std::string group_server::primary() const
{
    std::scoped_lock const lock(m_mutex);
    std::pair<state::term, std::string> latest;
    for (auto const& member : m_members)
    {
        auto const status = member->m_model.status();
        if (status.m_role == state::member_role::primary &&
            status.m_followed > latest.first)
        {
            latest = {status.m_followed, status.m_member};
        }
    }
    return latest.second;
}

std::vector<record> group_server::log(std::string const& member) const
{
    std::scoped_lock const lock(m_mutex);
    auto const& entries = find(member).m_model.log();
    return {entries.begin(), entries.end()};
}

table group_server::rows(std::string const& member) const
{
    std::scoped_lock const lock(m_mutex);
    return find(member).m_model.rows();
}

std::uint64_t group_server::probes(std::string const& member) const
{
    std::scoped_lock const lock(m_mutex);
    return find(member).m_probes;
}

connection_counts group_server::connections(std::string const& member) const
{
    std::scoped_lock const lock(m_mutex);
    return find(member).connections();
}

std::uint64_t group_server::statements(std::string const& member) const
{
    std::scoped_lock const lock(m_mutex);
    return find(member).m_statements;
}

member_server& group_server::find(std::string const& member) const
{
    auto const found =
        std::ranges::find_if(m_members, [&](auto const& one)
                             { return one->m_model.name() == member; });
    if (found == m_members.end())
    {
        throw std::out_of_range("no such member: " + member);
    }
    return **found;
}

void group_server::replicate_from(member_server& source)
{
    auto const last_index = source.m_model.log().size();
    for (auto const& target : m_members)
    {
        if (target.get() == &source)
        {
            continue;
        }
        m_timers.after(target->m_receive_lag,
                       [this, &source, target = target.get(), last_index]
                       {
                           std::scoped_lock const lock(m_mutex);
                           deliver(source, *target, last_index);
                       });
    }
}

void group_server::deliver(member_server& source, member_server& target,
                           std::uint64_t last_index)
{
    bool const connected = source.m_running && target.m_running &&
                           !source.m_paused && !target.m_paused &&
                           !source.m_cut_from_members &&
                           !target.m_cut_from_members;
    auto const term = source.m_model.status().m_followed;
    if (!connected)
    {
        return;
    }
    if (target.m_matched_term != term)
    {
        target.m_matched_term = term;
        target.m_matched_index = source.m_model.log().size();
    }
    auto const after = target.m_matched_index;
    auto const message = source.m_model.replicate(
        after, std::min<std::size_t>(
                   max_records, last_index > after ? last_index - after : 0));
    auto const matched_index =
        message ? target.m_model.receive(*message) : std::nullopt;
    if (!matched_index)
    {
        return;
    }
    target.m_last_primary_contact = member_server::monotonic_time::clock::now();
    bool const progress = target.m_matched_index != *matched_index;
    target.m_matched_index = *matched_index;
    if (!progress)
    {
        return;
    }
    schedule_apply(target, *matched_index);
    target.notify();
    if (*matched_index < last_index)
    {
        m_timers.after(std::chrono::microseconds(0),
                       [this, &source, &target, last_index]
                       {
                           std::scoped_lock const lock(m_mutex);
                           deliver(source, target, last_index);
                       });
    }
}

void group_server::schedule_apply(member_server& target, std::uint64_t index)
{
    if (target.m_apply_lag.count() == 0)
    {
        target.m_model.apply_to(index);
        return;
    }
    m_timers.after(target.m_apply_lag,
                   [this, &target, index]
                   {
                       std::scoped_lock const lock(m_mutex);
                       if (!target.m_paused)
                       {
                           target.m_model.apply_to(index);
                           target.notify();
                       }
                   });
}

void group_server::schedule_heartbeat()
{
    m_timers.after(heartbeat_interval,
                   [this]
                   {
                       std::scoped_lock const lock(m_mutex);
                       for (auto const& member : m_members)
                       {
                           if (member->m_model.status().m_role ==
                               state::member_role::primary)
                           {
                               replicate_from(*member);
                           }
                       }
                       schedule_heartbeat();
                   });
}

} // namespace camphortide::standin
