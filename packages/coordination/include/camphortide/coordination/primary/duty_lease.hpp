#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/state/clock.hpp>
#include <camphortide/state/fleet_records.hpp>

namespace camphortide::coordination
{

/// Timing of the duty lease.
struct duty_lease_settings
{
    /// An unchanged record may be taken over after this time. Longer than any
    /// gap between the renewals of a healthy holder, shorter than the shortest
    /// outage that callers notice.
    state::duration m_lease{4000};
    /// Interval between the holder's renewals: three fit into a lease.
    state::duration m_renewal_interval{1000};
    /// The holder stops acting this long before others may take over.
    state::duration m_safety_margin{500};
    /// After a longer gap between two reads, the record may have changed in
    /// between unnoticed; the lease is then counted from the later read.
    state::duration m_max_read_gap{2500};
    /// Minimum interval between two write attempts.
    state::duration m_retry_interval{200};
    /// How long this instance leaves a free duty to others.
    state::duration m_hesitation{};
};

/// @param processor_share the processor share of this instance's host, in cores
/// @return how long the instance leaves a free duty to others: the holder asks
///     every instance when a primary is replaced, which takes a weak host long
state::duration duty_hesitation(double processor_share);

/// A conditional write of the duty record.
struct duty_write
{
    state::duty_record m_record;
    /// Revision that the record must have; the default value: the record is
    /// created.
    state::store_revision m_revision;

    friend auto operator<=>(duty_write const&, duty_write const&) = default;
};

/// Lease on the duty of replacing primaries, which at most one instance holds
/// at a time. Other instances take it over when its record has not changed for
/// the lease time, measured with their own clocks.
///
/// After the store came back from a copy, the record shows who held the duty
/// some time before. A holder whose lease runs writes it again at once, with a
/// token of the new era. Others take it over only after the lease time,
/// whatever it says: another holder's record may have been lost. Until the
/// record is of the present era, nobody holds the duty.
class duty_lease
{
public:
    duty_lease(std::string name, std::int64_t start_time,
               duty_lease_settings settings = {});

    /// Notes what was read together with the record.
    /// @param era of the store
    /// @param highest_token the highest fencing token in any other record
    void note_store(std::uint64_t era, std::uint64_t highest_token);

    /// Processes a read of the record. Reads older than the cached revision are
    /// ignored.
    /// @param record the record, as of some time after the read was sent
    /// @param holder_ended true if the holder's process is known to have ended
    /// @param now time of the response
    void observe(std::optional<state::stored<state::duty_record>> const& record,
                 bool holder_ended, state::time_point now);

    /// Determines the next write. Call write_finished() once it completes.
    /// @return the write; nothing if none is due
    std::optional<duty_write> step(state::time_point now);

    /// Processes the result of a write.
    /// @param revision revision of the written record; nothing if the write
    ///     failed or its result is unknown
    void write_finished(std::optional<state::store_revision> const& revision,
                        state::time_point now);

    /// Stops holding and renewing the lease.
    /// @return the write that clears the holder; nothing if the cached record
    ///     isn't this instance's
    std::optional<duty_write> release();

    /// @param ahead how much longer the lease must last
    /// @return true if this instance holds the duty now and for that time
    bool holds(state::time_point now, state::duration ahead = {}) const;

    /// Notes that every permit of earlier eras of the store has lapsed. Written
    /// with the next renewal, for later holders.
    void note_earlier_permits_lapsed() { m_earlier_permits_lapsed = true; }

    /// @return true if the record says that every permit of earlier eras has
    ///     lapsed
    bool earlier_permits_lapsed() const;

    /// @return the token of the current holder; 0 if no record is cached
    std::uint64_t token() const;

    /// @return until when promotion requests of the previous holder may still
    ///     arrive at the platform. They can't after its lease has lapsed, or
    ///     after it has released the duty.
    state::time_point earlier_calls_until() const
    {
        return m_earlier_calls_until;
    }

private:
    struct pending_write
    {
        duty_write m_write;
        state::time_point m_sent;
        bool m_completed = false;
    };

    bool is_own(state::duty_record const& record) const;
    bool lease_runs(state::time_point now, state::duration ahead = {}) const;
    void note_token(std::uint64_t token);
    std::uint64_t next_token() const;
    bool can_take_over(state::time_point now) const;
    bool lease_lapsed(state::time_point now) const;
    void note_holder_ended(bool holder_ended, bool changed,
                           state::time_point now);
    state::time_point calls_of_holder_until(state::time_point now) const;
    std::optional<duty_write> start_write(state::duty_record record,
                                          state::time_point now);
    void confirm(state::duty_record const& record);

    std::string m_name;
    std::int64_t m_start_time;
    duty_lease_settings m_settings;
    std::optional<state::stored<state::duty_record>> m_cached;
    bool m_has_read = false;
    /// Since then, the process of the recorded holder is known to have ended.
    std::optional<state::time_point> m_holder_ended_at;
    bool m_released = false;
    state::time_point m_first_read;
    state::time_point m_last_read;
    state::time_point m_unchanged_since;
    std::optional<pending_write> m_pending;
    /// When the last confirmed renewal was sent; the lease runs from then.
    std::optional<state::time_point> m_confirmed_from;
    state::time_point m_last_attempt;
    /// Renewal number of the last attempt.
    std::uint64_t m_renewals = 0;
    std::uint64_t m_era = 0;               ///< latest era of the store
    bool m_earlier_permits_lapsed = false; ///< those of before that era
    /// The highest token of that era in any record.
    std::uint64_t m_highest_token = 0;
    state::time_point m_earlier_calls_until;
};

} // namespace camphortide::coordination
