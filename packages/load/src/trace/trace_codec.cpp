#include <array>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include <camphortide/load/trace/trace_codec.hpp>

namespace camphortide::load
{

namespace
{

using coordination::group_settings;

constexpr char const* format = "camphortide-trace";
constexpr char const* decision = "group_monitor";

struct setting
{
    char const* m_name;
    state::duration group_settings::*m_field;
};

constexpr std::array settings{
    setting{"probe_interval_ms", &group_settings::m_probe_interval},
    setting{"fast_probe_interval_ms", &group_settings::m_fast_probe_interval},
    setting{"suspicion_ms", &group_settings::m_suspicion},
    setting{"broken_suspicion_ms", &group_settings::m_broken_suspicion},
    setting{"isolation_ms", &group_settings::m_isolation},
    setting{"freshness_ms", &group_settings::m_freshness},
    setting{"settle_ms", &group_settings::m_settle},
    setting{"jitter_ms", &group_settings::m_jitter},
    setting{"pause_limit_ms", &group_settings::m_pause_limit},
    setting{"retry_interval_ms", &group_settings::m_retry_interval},
    setting{"promotion_timeout_ms", &group_settings::m_promotion_timeout},
    setting{"gather_ms", &group_settings::m_gather},
    setting{"backoff_ms", &group_settings::m_backoff},
    setting{"backoff_limit_ms", &group_settings::m_backoff_limit},
    setting{"switchover_timeout_ms", &group_settings::m_switchover_timeout},
    setting{"switchover_interval_ms", &group_settings::m_switchover_interval},
    setting{"repair_delay_ms", &group_settings::m_repair_delay}};

/// @return the value of a setting that an older trace doesn't contain. Before
///     broken_suspicion_ms was introduced, a broken connection did not shorten
///     the detection time, so suspicion_ms applied.
json const& fallback_setting(json const& stored, std::string_view name)
{
    return stored.at(name == "broken_suspicion_ms" ? "suspicion_ms"
                                                   : std::string(name));
}

constexpr std::array role_names{"unknown", "primary", "replica", "fenced"};

json position_json(state::log_position const& value)
{
    return json::array({value.m_term.value(), value.m_index});
}

state::log_position read_position(json const& value)
{
    return {state::term(value.at(0)), value.at(1)};
}

json status_json(state::member_status const& value)
{
    json starts = json::array();
    for (auto const& start : value.m_history.starts())
    {
        starts.push_back({start.m_term.value(), start.m_first_index});
    }
    return {{"member", value.m_member},
            {"role", role_names.at(static_cast<std::size_t>(value.m_role))},
            {"granted", value.m_granted.value()},
            {"followed", value.m_followed.value()},
            {"received", position_json(value.m_received)},
            {"applied", position_json(value.m_applied)},
            {"history", std::move(starts)},
            {"silence_ms", value.m_primary_silence.count()},
            {"leaving", value.m_leaving},
            {"probe", value.m_probe}};
}

state::member_role read_role(std::string const& name)
{
    std::size_t index = role_names.size();
    while (index > 1 && role_names.at(index - 1) != name)
    {
        --index;
    }
    return static_cast<state::member_role>(index == 0 ? 0 : index - 1);
}

state::member_status read_status(json const& value)
{
    state::member_status result;
    result.m_member = value.at("member");
    result.m_role = read_role(value.at("role"));
    result.m_granted = state::term(value.at("granted"));
    result.m_followed = state::term(value.at("followed"));
    result.m_received = read_position(value.at("received"));
    result.m_applied = read_position(value.at("applied"));
    std::vector<state::term_start> starts;
    for (auto const& start : value.at("history"))
    {
        starts.push_back({state::term(start.at(0)), start.at(1)});
    }
    result.m_history = state::term_history(std::move(starts));
    result.m_primary_silence =
        state::duration(value.at("silence_ms").get<state::clock::rep>());
    result.m_leaving = value.at("leaving");
    result.m_probe = value.at("probe");
    return result;
}

/// Converts each kind of input to JSON.
struct input_writer
{
    json operator()(tick_input const&) const { return {{"kind", "tick"}}; }

    json operator()(status_input const& input) const
    {
        return {{"kind", "status"}, {"status", status_json(input.m_status)}};
    }

    json operator()(unreachable_input const& input) const
    {
        return {{"kind", "unreachable"}, {"member", input.m_member}};
    }

    json operator()(fence_input const& input) const
    {
        return {{"kind", "fence"},
                {"term", input.m_term.value()},
                {"granted", input.m_granted},
                {"status", status_json(input.m_status)}};
    }

    json operator()(promote_input const& input) const
    {
        return {{"kind", "promote"},
                {"term", input.m_term.value()},
                {"done", input.m_done},
                {"status", status_json(input.m_status)}};
    }

    json operator()(follow_input const& input) const
    {
        return {{"kind", "follow"}, {"status", status_json(input.m_status)}};
    }

    json operator()(switchover_input const& input) const
    {
        return {{"kind", "switchover"}, {"target", input.m_target}};
    }

    json operator()(cancel_input const&) const { return {{"kind", "cancel"}}; }

    json operator()(drained_input const&) const
    {
        return {{"kind", "drained"}};
    }
};

/// Converts each kind of action to JSON.
struct action_writer
{
    json operator()(coordination::send_probe const& action) const
    {
        return {{"do", "probe"},
                {"member", action.m_member},
                {"probe", action.m_probe}};
    }

    json operator()(coordination::send_fence const& action) const
    {
        return {{"do", "fence"},
                {"member", action.m_member},
                {"term", action.m_term.value()}};
    }

    json operator()(coordination::send_promote const& action) const
    {
        return {{"do", "promote"},
                {"member", action.m_member},
                {"term", action.m_term.value()}};
    }

    json operator()(coordination::send_follow const& action) const
    {
        return {{"do", "follow"},
                {"member", action.m_member},
                {"term", action.m_term.value()},
                {"primary", action.m_primary}};
    }

    json operator()(coordination::primary_changed const& action) const
    {
        if (!action.m_primary)
        {
            return {{"do", "no_primary"}};
        }
        return {{"do", "use_primary"},
                {"member", action.m_primary->m_member},
                {"term", action.m_primary->m_term.value()}};
    }

    json operator()(coordination::pause_writes const&) const
    {
        return {{"do", "pause_writes"}};
    }

    json operator()(coordination::resume_writes const&) const
    {
        return {{"do", "resume_writes"}};
    }

    json operator()(coordination::switchover_ended const& action) const
    {
        return {{"do", "switchover_ended"},
                {"result", static_cast<int>(action.m_result)},
                {"primary", action.m_primary}};
    }
};

monitor_input read_tick(json const&)
{
    return tick_input{};
}

monitor_input read_member_status(json const& value)
{
    return status_input{read_status(value.at("status"))};
}

monitor_input read_unreachable(json const& value)
{
    return unreachable_input{value.at("member")};
}

monitor_input read_fence(json const& value)
{
    return fence_input{state::term(value.at("term")), value.at("granted"),
                       read_status(value.at("status"))};
}

monitor_input read_promote(json const& value)
{
    return promote_input{state::term(value.at("term")), value.at("done"),
                         read_status(value.at("status"))};
}

monitor_input read_follow(json const& value)
{
    return follow_input{read_status(value.at("status"))};
}

monitor_input read_switchover(json const& value)
{
    return switchover_input{value.at("target")};
}

monitor_input read_cancel(json const&)
{
    return cancel_input{};
}

monitor_input read_drained(json const&)
{
    return drained_input{};
}

struct input_reader
{
    char const* m_kind;
    monitor_input (*m_read)(json const& value);
};

constexpr input_reader input_readers[] = {{"tick", read_tick},
                                          {"status", read_member_status},
                                          {"unreachable", read_unreachable},
                                          {"fence", read_fence},
                                          {"promote", read_promote},
                                          {"follow", read_follow},
                                          {"switchover", read_switchover},
                                          {"cancel", read_cancel},
                                          {"drained", read_drained}};

} // namespace

json to_json(trace_header const& value)
{
    json result{{"format", format},
                {"version", trace_header::version},
                {"decision", decision},
                {"name", value.m_name},
                {"proposer", value.m_proposer},
                {"tag", value.m_tag},
                {"seed", value.m_seed},
                {"members", value.m_members}};
    for (auto const& each : settings)
    {
        result["settings"][each.m_name] =
            (value.m_settings.*each.m_field).count();
    }
    return result;
}

json to_json(trace_outcome const& value)
{
    return {{"primary", value.m_primary},
            {"term", value.m_term},
            {"promotions", value.m_promotions}};
}

json to_json(monitor_input const& value)
{
    return std::visit(input_writer{}, value);
}

json to_json(coordination::group_actions const& value)
{
    json result = json::array();
    for (auto const& action : value)
    {
        result.push_back(std::visit(action_writer{}, action));
    }
    return result;
}

std::optional<trace_header> read_header(json const& value)
{
    bool const known = value.value("format", "") == format &&
                       value.value("version", 0) == trace_header::version &&
                       value.value("decision", "") == decision;
    if (!known)
    {
        return std::nullopt;
    }
    trace_header result;
    result.m_name = value.at("name");
    result.m_proposer = value.at("proposer");
    result.m_tag = value.at("tag");
    result.m_seed = value.at("seed");
    result.m_members = value.at("members").get<std::vector<std::string>>();
    auto const& stored = value.at("settings");
    for (auto const& each : settings)
    {
        auto const found = stored.find(each.m_name);
        auto const& time = found != stored.end()
                               ? *found
                               : fallback_setting(stored, each.m_name);
        result.m_settings.*each.m_field =
            state::duration(time.get<state::clock::rep>());
    }
    return result;
}

std::optional<monitor_input> read_input(json const& value)
{
    std::string const kind = value.at("kind");
    for (auto const& reader : input_readers)
    {
        if (kind == reader.m_kind)
        {
            return reader.m_read(value);
        }
    }
    return std::nullopt;
}

trace_outcome read_outcome(json const& value)
{
    return {value.at("primary"), value.at("term"), value.at("promotions")};
}

} // namespace camphortide::load
