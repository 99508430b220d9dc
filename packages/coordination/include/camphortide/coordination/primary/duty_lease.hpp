#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/fleet_records.hpp>

namespace camphortide::coordination
{

/// Times of the duty's lease.
struct duty_lease_settings
{
    /// how long others leave an unchanged record alone; above any renewal gap
    /// of a healthy holder, below the shortest outage that callers notice
    state::duration m_lease{4000};
    /// how often the holder renews: three times within the lease
    state::duration m_renewal{1000};
    /// the holder stops this much before others may begin
    state::duration m_margin{500};
    /// a longer pause between two reads says nothing of the time between
    state::duration m_read_gap{2500};
    /// least pause between two tries to write
    state::duration m_retry{200};
};

/// A write to the duty's record under condition.
struct duty_write
{
    state::duty_record m_record;
    std::uint64_t m_revision = 0; ///< 0: create it

    friend auto operator<=>(duty_write const&, duty_write const&) = default;
};

/// The lease of the one instance that replaces primaries. Others judge it by
/// how long its record is unchanged by their own clock.
class duty_lease
{
public:
    duty_lease(std::string name, std::int64_t born,
               duty_lease_settings settings = {});

    /// Takes in a read of the record.
    /// @param record as of some time after the read was sent
    /// @param holder_gone the holder's process is known to have ended
    /// @param now when the read was answered
    void observe(std::optional<state::stored<state::duty_record>> const& record,
                 bool holder_gone, state::time_point now);

    /// Decides on a write. Call written() when it has ended.
    /// @return nothing if there is nothing to do now
    std::optional<duty_write> step(state::time_point now);

    /// Takes the end of a write.
    /// @param revision of the record that it left; nothing if it failed, or
    ///     may still be done
    void written(std::optional<std::uint64_t> revision, state::time_point now);

    /// @return the write that gives the duty up; nothing without it
    std::optional<duty_write> release();

    /// @return true if this instance holds the duty, for so long at least
    bool holds(state::time_point now, state::duration ahead = {}) const;

    /// @return the token of the duty's present holder
    std::uint64_t token() const;

private:
    struct pending_write
    {
        duty_write m_write;
        state::time_point m_sent;
        bool m_ended = false;
    };

    bool own(state::duty_record const& record) const;
    bool may_take(state::time_point now) const;
    std::optional<duty_write> send(state::duty_record record,
                                   state::time_point now);
    void confirm(state::duty_record const& record);

    std::string m_name;
    std::int64_t m_start_time;
    duty_lease_settings m_settings;
    std::optional<state::stored<state::duty_record>> m_known;
    bool m_ever_read = false;
    bool m_holder_gone = false;
    bool m_released = false;
    state::time_point m_last_read;
    state::time_point m_unchanged_since;
    std::optional<pending_write> m_pending;
    std::optional<state::time_point> m_confirmed; ///< sending of a renewal
    state::time_point m_last_try;
    std::uint64_t m_renewals = 0; ///< of the last try
};

} // namespace camphortide::coordination
