#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include <camphortide/coordination/primary/registration_grace.hpp>
#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Timing of the detection of a lost primary.
struct primary_watch_settings
{
    /// A primary that doesn't respond for this long is lost. Longer than a full
    /// queue at a member and one new connection take.
    state::duration m_response_timeout{700};
    /// Refusals closer together than this count as one.
    state::duration m_min_refusal_interval{25};
    /// How long a primary without an entry in the store is waited for if this
    /// instance has never seen the entry.
    state::duration m_registration_grace = registration_grace;
    /// How long another instance's report counts; instances repeat it at least
    /// twice in this time.
    state::duration m_report_lifetime{1200};
    /// How long instances must have been reporting before their reports count.
    state::duration m_min_report_age{400};
    /// A longer gap between two ticks means that this process was suspended.
    state::duration m_max_tick_interval{400};
    /// Usual interval between two ticks. A longer one means that this process
    /// is short of processor time and reads answers late.
    state::duration m_tick_interval{40};
    /// The response timeout grows by this multiple of the recent delay of
    /// ticks: a request and its answer each wait for several events.
    int m_delay_factor = 6;
    /// Upper bound of that growth.
    state::duration m_max_delay_allowance{3000};
};

/// Why a primary is considered lost. The names are also the values in the log.
enum class primary_loss
{
    none,
    /// Its address refuses connections.
    refuses,
    /// It is unresponsive.
    silent,
    /// It has no entry in the store.
    unregistered,
    /// Several instances can't reach it.
    lost_to_others
};

/// Detects the loss of a group's primary for the instance that replaces
/// primaries, from its own observations and from the reports of other
/// instances.
class primary_watch
{
public:
    explicit primary_watch(primary_watch_settings settings = {})
        : m_settings(settings)
    {
    }

    /// Starts watching a primary; earlier observations are discarded.
    void begin(state::time_point now);

    /// Records whether the primary has an entry in the store. Without one its
    /// address isn't known, so that its silence tells nothing.
    void note_registration(bool registered, state::time_point now);

    /// Records an answer of the primary, of any kind.
    void note_answer(state::time_point now);

    /// Records a refused or broken connection.
    void note_refusal(state::time_point now);

    /// Records another instance's report that it can't reach the primary.
    void note_report(std::string const& instance, state::time_point now);

    /// Detects pauses of this process; call it at short, regular intervals.
    void tick(state::time_point now);

    /// @param instances number of instances in the fleet
    /// @return why the primary is lost; none if it isn't
    primary_loss evaluate(std::size_t instances, state::time_point now) const;

private:
    struct report
    {
        state::time_point m_first_received;
        state::time_point m_last_received;
    };

    state::duration response_timeout() const;
    bool unregistered(state::time_point now) const;
    bool reported_by_others(std::size_t instances, state::time_point now) const;

    primary_watch_settings m_settings;
    state::time_point m_last_answer;
    state::time_point m_last_tick;
    /// Recent delay of ticks; it falls by a tenth with each punctual tick.
    state::duration m_delay{};
    bool m_was_registered = false;
    std::optional<state::time_point> m_unregistered_since;
    std::optional<state::time_point> m_first_refusal;
    std::optional<state::time_point> m_last_refusal;
    std::map<std::string, report> m_reports;
};

} // namespace camphortide::coordination
