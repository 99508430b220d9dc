#include <camphortide/coordination/group/group_monitor_builder.hpp>
#include <camphortide/load/trace/trace_codec.hpp>
#include <camphortide/load/trace/trace_recorder.hpp>

namespace camphortide::load
{

trace_recorder::trace_recorder(std::ostream& to, trace_head const& head)
    : m_to(to)
{
    m_to << to_json(head).dump() << '\n';
}

void trace_recorder::step(monitor_input const& input,
                          coordination::group_actions const& actions,
                          state::time_point now)
{
    json line{{"t", now.time_since_epoch().count()}, {"in", to_json(input)}};
    if (!actions.empty())
    {
        line["out"] = to_json(actions);
    }
    m_to << line.dump() << '\n';
}

void trace_recorder::finish(trace_outcome const& outcome)
{
    m_to << json{{"outcome", to_json(outcome)}}.dump() << '\n';
}

trace_outcome outcome_of(coordination::group_monitor const& monitor)
{
    trace_outcome result;
    result.m_promotions = monitor.promotions();
    if (auto const& primary = monitor.primary())
    {
        result.m_primary = primary->m_member;
        result.m_term = primary->m_term.value();
    }
    return result;
}

absl::StatusOr<coordination::group_monitor>
build_monitor(trace_head const& head)
{
    return coordination::group_monitor_builder()
        .proposer(head.m_proposer)
        .tag(head.m_tag)
        .seed(head.m_seed)
        .members(head.m_members)
        .settings(head.m_settings)
        .build();
}

} // namespace camphortide::load
