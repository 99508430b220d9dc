#include <optional>
#include <utility>

#include <camphortide/load/trace/trace_codec.hpp>
#include <camphortide/load/trace/trace_recorder.hpp>
#include <camphortide/load/trace/trace_replay.hpp>

namespace camphortide::load
{

namespace
{

/// Replays one trace line by line.
class replayer
{
public:
    /// @return false if the trace can't be followed any further
    bool take(std::string const& text)
    {
        ++m_line;
        try
        {
            return take(json::parse(text));
        }
        catch (json::exception const& error)
        {
            return damaged(error.what());
        }
    }

    replay_result finish()
    {
        if (!m_ended && m_result.passed())
        {
            differ(trace_fault::no_outcome, "an outcome", "nothing");
        }
        return std::move(m_result);
    }

private:
    bool take(json const& line)
    {
        if (!m_monitor)
        {
            return begin(line);
        }
        if (line.contains("outcome"))
        {
            end(read_outcome(line.at("outcome")));
            return true;
        }
        return run(line);
    }

    bool begin(json const& line)
    {
        auto const head = read_head(line);
        if (!head)
        {
            return damaged("another format or version");
        }
        auto built = build_monitor(*head);
        if (!built.ok())
        {
            return damaged(std::string(built.status().message()));
        }
        m_monitor.emplace(*std::move(built));
        return true;
    }

    bool run(json const& line)
    {
        auto const input = read_input(line.at("in"));
        if (!input || m_ended)
        {
            return damaged(input ? "a step after the outcome"
                                 : "an input of an unknown kind");
        }
        m_time_ms = line.at("t");
        auto const actions = step(
            *m_monitor, *input, state::time_point(state::duration(m_time_ms)));
        ++m_result.m_steps;
        json const stated = line.contains("out") ? line["out"] : json::array();
        json const found = to_json(actions);
        if (stated != found)
        {
            differ(trace_fault::other_actions, stated.dump(), found.dump());
        }
        return true;
    }

    void end(trace_outcome const& stated)
    {
        m_ended = true;
        auto const found = outcome_of(*m_monitor);
        if (found != stated)
        {
            differ(trace_fault::other_outcome, to_json(stated).dump(),
                   to_json(found).dump());
        }
    }

    bool damaged(std::string why)
    {
        differ(trace_fault::not_a_trace, {}, std::move(why));
        return false;
    }

    void differ(trace_fault fault, std::string stated, std::string found)
    {
        m_result.m_differences.push_back(
            {fault, m_line, m_time_ms, std::move(stated), std::move(found)});
    }

    std::optional<coordination::group_monitor> m_monitor;
    replay_result m_result;
    std::uint64_t m_line = 0;
    std::int64_t m_time_ms = 0;
    bool m_ended = false;
};

} // namespace

std::string_view to_string(trace_fault value)
{
    switch (value)
    {
    case trace_fault::not_a_trace:
        return "not a trace";
    case trace_fault::other_actions:
        return "other actions";
    case trace_fault::other_outcome:
        return "other outcome";
    case trace_fault::no_outcome:
        return "no outcome";
    }
    return "unknown";
}

replay_result replay(std::istream& trace)
{
    replayer over;
    for (std::string line; std::getline(trace, line);)
    {
        if (!over.take(line))
        {
            break;
        }
    }
    return over.finish();
}

} // namespace camphortide::load
