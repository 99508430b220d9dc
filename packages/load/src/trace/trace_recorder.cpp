#include <camphortide/coordination/group/group_monitor_builder.hpp>
#include <camphortide/load/trace/trace_codec.hpp>
#include <camphortide/load/trace/trace_recorder.hpp>

namespace camphortide::load
{

trace_recorder::trace_recorder(std::ostream& to, trace_header const& header)
    : m_to(to)
{
    m_to << to_json(header).dump() << '\n';
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
build_monitor(trace_header const& header)
{
    return coordination::group_monitor_builder()
        .proposer(header.m_proposer)
        .tag(header.m_tag)
        .seed(header.m_seed)
        .members(header.m_members)
        .settings(header.m_settings)
        .build();
}

} // namespace camphortide::load
