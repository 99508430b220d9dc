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
    /// @return false if the rest of the trace can't be replayed
    bool replay_line(std::string const& text)
    {
        ++m_line;
        try
        {
            return replay_line(json::parse(text));
        }
        catch (json::exception const& error)
        {
            return reject(error.what());
        }
    }

    replay_result finish()
    {
        if (!m_ended && m_result.passed())
        {
            add_difference(difference_kind::no_outcome, "an outcome",
                           "nothing");
        }
        return std::move(m_result);
    }

private:
    bool replay_line(json const& line)
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
        auto const header = read_header(line);
        if (!header)
        {
            return reject("another format or version");
        }
        auto built = build_monitor(*header);
        if (!built.ok())
        {
            return reject(std::string(built.status().message()));
        }
        m_monitor.emplace(*std::move(built));
        return true;
    }

    bool run(json const& line)
    {
        auto const input = read_input(line.at("in"));
        if (!input || m_ended)
        {
            return reject(input ? "a step after the outcome"
                                : "an input of an unknown kind");
        }
        m_time_ms = line.at("t");
        auto const actions = step(
            *m_monitor, *input, state::time_point(state::duration(m_time_ms)));
        ++m_result.m_steps;
        json const expected =
            line.contains("out") ? line["out"] : json::array();
        json const actual = to_json(actions);
        if (expected != actual)
        {
            add_difference(difference_kind::other_actions, expected.dump(),
                           actual.dump());
        }
        return true;
    }

    void end(trace_outcome const& expected)
    {
        m_ended = true;
        auto const actual = outcome_of(*m_monitor);
        if (actual != expected)
        {
            add_difference(difference_kind::other_outcome,
                           to_json(expected).dump(), to_json(actual).dump());
        }
    }

    bool reject(std::string why)
    {
        add_difference(difference_kind::not_a_trace, {}, std::move(why));
        return false;
    }

    void add_difference(difference_kind kind, std::string expected,
                        std::string actual)
    {
        m_result.m_differences.push_back(
            {kind, m_line, m_time_ms, std::move(expected), std::move(actual)});
    }

    std::optional<coordination::group_monitor> m_monitor;
    replay_result m_result;
    std::uint64_t m_line = 0;
    std::int64_t m_time_ms = 0;
    bool m_ended = false;
};

} // namespace

std::string_view to_string(difference_kind value)
{
    switch (value)
    {
    case difference_kind::not_a_trace:
        return "not a trace";
    case difference_kind::other_actions:
        return "other actions";
    case difference_kind::other_outcome:
        return "other outcome";
    case difference_kind::no_outcome:
        return "no outcome";
    }
    return "unknown";
}

replay_result replay(std::istream& trace)
{
    replayer current;
    for (std::string line; std::getline(trace, line);)
    {
        if (!current.replay_line(line))
        {
            break;
        }
    }
    return current.finish();
}

} // namespace camphortide::load
