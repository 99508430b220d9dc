#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include <camphortide/coordination/fleet/stop_planner.hpp>
#include <camphortide/coordination/fleet/stop_targets.hpp>

namespace camphortide::coordination
{

using state::planned_stop;
using state::stop_kind;
using state::stop_state;

namespace
{

/// Stops that have begun come first, then the older ones.
auto precedence(planned_stop const& stop)
{
    return std::tuple(stop.m_state == stop_state::planned, stop.m_created,
                      stop.m_id);
}

bool removes_member(planned_stop const& stop)
{
    return stop.m_kind == stop_kind::member ||
           stop.m_kind == stop_kind::endpoint;
}

/// Builds the plan of one instance by adding one stop at a time.
class plan_builder
{
public:
    explicit plan_builder(stop_planner_input const& input) : m_input(input)
    {
        for (auto const& member : input.m_members)
        {
            m_members.emplace(member.m_group_member, &member);
        }
    }

    stop_plan run()
    {
        exclude_leaving();
        std::vector<planned_stop const*> stops;
        for (auto const& stop : m_input.m_stops)
        {
            if (state::is_in_force(stop))
            {
                stops.push_back(&stop);
            }
        }
        std::ranges::sort(stops, {},
                          [](planned_stop const* stop)
                          { return precedence(*stop); });
        for (auto const* stop : stops)
        {
            add(*stop);
        }
        m_plan.m_excluded_members.assign(m_excluded.begin(), m_excluded.end());
        return std::move(m_plan);
    }

private:
    void exclude_leaving()
    {
        for (auto const& member : m_input.m_members)
        {
            if (member.m_is_leaving)
            {
                m_excluded.insert(member.m_group_member);
            }
        }
        for (auto const& group : m_input.m_catalogue.groups())
        {
            for (auto const& member : group.m_members)
            {
                if (member.m_leaving)
                {
                    m_excluded.insert({group.m_name, member.m_name});
                }
            }
        }
    }

    void add(planned_stop const& stop)
    {
        if (stop.m_kind == stop_kind::instance)
        {
            add_instance(stop);
            return;
        }
        auto const targets = stop_targets(stop, m_input.m_catalogue);
        if (removes_member(stop) && !reserve(targets))
        {
            return; // waits for the stops before it to end
        }
        auto report = stop;
        report.m_state = stop_state::draining;
        bool reports_here = false;
        for (auto const& member : targets)
        {
            reports_here = add_member(stop, member, report) || reports_here;
        }
        if (!reports_here || stop.m_state == stop_state::done)
        {
            return;
        }
        if (report.m_drained.size() == targets.size())
        {
            report.m_state = stop_state::done;
        }
        add_report(stop, std::move(report));
    }

    void add_instance(planned_stop const& stop)
    {
        if (stop.m_target != m_input.m_self)
        {
            return;
        }
        m_plan.m_drain_self = true;
        auto report = stop;
        report.m_state =
            m_input.m_is_idle && stop.m_state == stop_state::draining
                ? stop_state::done
                : stop_state::draining;
        add_report(stop, std::move(report));
    }

    void add_report(planned_stop const& stop, planned_stop report)
    {
        if (report != stop)
        {
            m_plan.m_reports.push_back({std::move(report)});
        }
    }

    /// @return false if a group would lose its majority
    bool reserve(std::vector<group_member> const& targets)
    {
        auto const fits = [this](group_member const& member)
        {
            auto const* group = m_input.m_catalogue.find_group(member.m_group);
            auto const& stopping = m_stopping[member.m_group];
            return stopping.contains(member.m_member) ||
                   stopping.size() < stoppable_members(*group);
        };
        if (!std::ranges::all_of(targets, fits))
        {
            return false;
        }
        for (auto const& member : targets)
        {
            m_stopping[member.m_group].insert(member.m_member);
        }
        return true;
    }

    /// @return true if this instance reports on the member's group
    bool add_member(planned_stop const& stop, group_member const& member,
                    planned_stop& report)
    {
        if (removes_member(stop))
        {
            m_excluded.insert(member);
        }
        auto const homes = m_input.m_homes.homes_of(member.m_group);
        if (homes.empty() || homes.front().m_name != m_input.m_self)
        {
            return false;
        }
        auto const seen = m_members.find(member);
        if (seen == m_members.end())
        {
            return true;
        }
        if (seen->second->m_is_primary)
        {
            m_plan.m_switch_over.push_back(member);
            return true;
        }
        bool const is_drained =
            !removes_member(stop) || seen->second->m_connections == 0;
        auto& drained = report.m_drained;
        if (is_drained &&
            std::ranges::find(drained, member.m_group) == drained.end())
        {
            drained.push_back(member.m_group);
            std::ranges::sort(drained);
        }
        return true;
    }

    stop_planner_input const& m_input;
    std::map<group_member, member_observation const*> m_members;
    std::map<std::string, std::set<std::string>> m_stopping;
    std::set<group_member> m_excluded;
    stop_plan m_plan;
};

bool have_same_target(planned_stop const& one, planned_stop const& other)
{
    return one.m_kind == other.m_kind && one.m_target == other.m_target &&
           one.m_group == other.m_group;
}

std::optional<stop_problem>
check_target(planned_stop const& stop, state::catalogue const& catalogue,
             std::span<state::instance_record const> instances)
{
    if (stop.m_kind == stop_kind::instance)
    {
        bool const is_known =
            std::ranges::find(instances, stop.m_target,
                              &state::instance_record::m_name) !=
            instances.end();
        return is_known ? std::nullopt
                        : std::optional(stop_problem::unknown_instance);
    }
    if (!stop_targets(stop, catalogue).empty())
    {
        return std::nullopt;
    }
    if (stop.m_kind == stop_kind::endpoint)
    {
        return stop_problem::unknown_endpoint;
    }
    return catalogue.find_group(stop.m_group) == nullptr
               ? stop_problem::unknown_group
               : stop_problem::unknown_member;
}

} // namespace

bool stop_plan::excludes(group_member const& member) const
{
    return std::ranges::binary_search(m_excluded_members, member);
}

stop_plan plan_stops(stop_planner_input const& input)
{
    return plan_builder(input).run();
}

std::string_view to_string(stop_problem value)
{
    static constexpr std::array<std::string_view, 6> names{
        "unknown_instance", "unknown_group", "unknown_member",
        "unknown_endpoint", "duplicate",     "majority_at_risk"};
    return names.at(static_cast<std::size_t>(value));
}

std::optional<stop_problem>
check_stop(planned_stop const& stop, std::span<planned_stop const> active,
           state::catalogue const& catalogue,
           std::span<state::instance_record const> instances)
{
    if (auto const problem = check_target(stop, catalogue, instances))
    {
        return problem;
    }
    std::map<std::string, std::set<std::string>> stopping;
    for (auto const& other : active)
    {
        if (!state::is_in_force(other) || other.m_id == stop.m_id)
        {
            continue;
        }
        if (have_same_target(stop, other))
        {
            return stop_problem::duplicate;
        }
        if (removes_member(other))
        {
            for (auto const& member : stop_targets(other, catalogue))
            {
                stopping[member.m_group].insert(member.m_member);
            }
        }
    }
    if (!removes_member(stop))
    {
        return std::nullopt;
    }
    for (auto const& member : stop_targets(stop, catalogue))
    {
        auto& members = stopping[member.m_group];
        members.insert(member.m_member);
        if (members.size() >
            stoppable_members(*catalogue.find_group(member.m_group)))
        {
            return stop_problem::majority_at_risk;
        }
    }
    return std::nullopt;
}

} // namespace camphortide::coordination
