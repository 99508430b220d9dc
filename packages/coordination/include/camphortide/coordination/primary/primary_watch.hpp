#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Times of the detection of a lost primary.
struct primary_watch_settings
{
    /// a primary that is silent for so long is lost; above the time that a
    /// full queue of a member and one new connection take
    state::duration m_response_timeout{700};
    /// least time between two refusals that count as two
    state::duration m_min_refusal_interval{25};
    /// how long another instance's word counts; it repeats it twice as often
    state::duration m_report_lifetime{1200};
    /// how long others must say so
    state::duration m_min_report_age{400};
    /// a longer pause between two ticks means that this process stood still
    state::duration m_max_tick_interval{400};
};

/// Why a primary is given up.
enum class primary_loss
{
    none,
    refuses,       ///< its address refuses connections
    silent,        ///< no answer
    lost_to_others ///< several instances don't reach it
};

/// Judges whether a group's primary is lost, from what the instance that
/// replaces primaries sees and is told.
class primary_watch
{
public:
    explicit primary_watch(primary_watch_settings settings = {})
        : m_settings(settings)
    {
    }

    /// Begins to watch a primary anew.
    void begin(state::time_point now);

    /// Takes an answer of the primary, of any kind.
    void note_answer(state::time_point now);

    /// Takes a refused or broken connection.
    void note_refusal(state::time_point now);

    /// Takes another instance's word that it doesn't reach the primary.
    void note_report(std::string const& instance, state::time_point now);

    /// Notes that time passes; call it often.
    void tick(state::time_point now);

    /// @param instances the size of the fleet
    primary_loss evaluate(std::size_t instances, state::time_point now) const;

private:
    struct report
    {
        state::time_point m_first_received;
        state::time_point m_last_received;
    };

    bool reported_by_others(std::size_t instances, state::time_point now) const;

    primary_watch_settings m_settings;
    state::time_point m_last_answer;
    state::time_point m_last_tick;
    std::optional<state::time_point> m_first_refusal;
    std::optional<state::time_point> m_last_refusal;
    std::map<std::string, report> m_reports;
};

} // namespace camphortide::coordination
