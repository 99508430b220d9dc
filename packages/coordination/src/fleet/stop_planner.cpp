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

/// Stops that have begun go first, then the older ones.
auto precedence(planned_stop const& stop)
{
    return std::tuple(stop.m_state == stop_state::planned, stop.m_created,
                      stop.m_id);
}

bool takes_member_away(planned_stop const& stop)
{
    return stop.m_kind == stop_kind::member ||
           stop.m_kind == stop_kind::endpoint;
}

/// Builds the plan of one instance, one stop at a time.
class planning
{
public:
    explicit planning(stop_situation const& situation) : m_situation(situation)
    {
        for (auto const& member : situation.m_members)
        {
            m_members.emplace(member.m_place, &member);
        }
    }

    stop_plan run()
    {
        exclude_leaving();
        std::vector<planned_stop const*> stops;
        for (auto const& stop : m_situation.m_stops)
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
        m_plan.m_no_new_work.assign(m_excluded.begin(), m_excluded.end());
        return std::move(m_plan);
    }

private:
    void exclude_leaving()
    {
        for (auto const& member : m_situation.m_members)
        {
            if (member.m_is_leaving)
            {
                m_excluded.insert(member.m_place);
            }
        }
        for (auto const& group : m_situation.m_catalogue.groups())
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
        auto const targets = stop_targets(stop, m_situation.m_catalogue);
        if (takes_member_away(stop) && !reserve(targets))
        {
            return; // waits for the stops before it
        }
        auto report = stop;
        report.m_state = stop_state::draining;
        bool is_mine = false;
        for (auto const& place : targets)
        {
            is_mine = add_member(stop, place, report) || is_mine;
        }
        if (!is_mine || stop.m_state == stop_state::done)
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
        if (stop.m_target != m_situation.m_self)
        {
            return;
        }
        m_plan.m_drain_self = true;
        auto report = stop;
        report.m_state =
            m_situation.m_is_idle && stop.m_state == stop_state::draining
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
    bool reserve(std::vector<member_place> const& targets)
    {
        auto const fits = [this](member_place const& place)
        {
            auto const* group =
                m_situation.m_catalogue.find_group(place.m_group);
            auto const& stopping = m_stopping[place.m_group];
            return stopping.contains(place.m_member) ||
                   stopping.size() < stoppable_members(*group);
        };
        if (!std::ranges::all_of(targets, fits))
        {
            return false;
        }
        for (auto const& place : targets)
        {
            m_stopping[place.m_group].insert(place.m_member);
        }
        return true;
    }

    /// @return true if this instance reports on the member's group
    bool add_member(planned_stop const& stop, member_place const& place,
                    planned_stop& report)
    {
        if (takes_member_away(stop))
        {
            m_excluded.insert(place);
        }
        auto const homes = m_situation.m_homes.homes_of(place.m_group);
        if (homes.empty() || homes.front().m_name != m_situation.m_self)
        {
            return false;
        }
        auto const seen = m_members.find(place);
        if (seen == m_members.end())
        {
            return true;
        }
        if (seen->second->m_is_primary)
        {
            m_plan.m_switch_over.push_back(place);
            return true;
        }
        bool const is_drained =
            !takes_member_away(stop) || seen->second->m_connections == 0;
        auto& drained = report.m_drained;
        if (is_drained &&
            std::ranges::find(drained, place.m_group) == drained.end())
        {
            drained.push_back(place.m_group);
            std::ranges::sort(drained);
        }
        return true;
    }

    stop_situation const& m_situation;
    std::map<member_place, member_observation const*> m_members;
    std::map<std::string, std::set<std::string>> m_stopping;
    std::set<member_place> m_excluded;
    stop_plan m_plan;
};

bool share_target(planned_stop const& one, planned_stop const& other)
{
    return one.m_kind == other.m_kind && one.m_target == other.m_target &&
           one.m_group == other.m_group;
}

std::optional<stop_problem>
check_target(planned_stop const& stop, state::catalogue const& value,
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
    if (!stop_targets(stop, value).empty())
    {
        return std::nullopt;
    }
    if (stop.m_kind == stop_kind::endpoint)
    {
        return stop_problem::unknown_endpoint;
    }
    return value.find_group(stop.m_group) == nullptr
               ? stop_problem::unknown_group
               : stop_problem::unknown_member;
}

} // namespace

bool stop_plan::excludes(member_place const& place) const
{
    return std::ranges::binary_search(m_no_new_work, place);
}

stop_plan plan_stops(stop_situation const& situation)
{
    return planning(situation).run();
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
           state::catalogue const& value,
           std::span<state::instance_record const> instances)
{
    if (auto const problem = check_target(stop, value, instances))
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
        if (share_target(stop, other))
        {
            return stop_problem::duplicate;
        }
        if (takes_member_away(other))
        {
            for (auto const& place : stop_targets(other, value))
            {
                stopping[place.m_group].insert(place.m_member);
            }
        }
    }
    if (!takes_member_away(stop))
    {
        return std::nullopt;
    }
    for (auto const& place : stop_targets(stop, value))
    {
        auto& members = stopping[place.m_group];
        members.insert(place.m_member);
        if (members.size() >
            stoppable_members(*value.find_group(place.m_group)))
        {
            return stop_problem::majority_at_risk;
        }
    }
    return std::nullopt;
}

} // namespace camphortide::coordination
