#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/state/member_status.hpp>

namespace camphortide::coordination
{

/// A confirmed sample of a group's log: every write acknowledged before m_sent
/// has an index of at most m_index.
struct freshness_sample
{
    state::time_point m_sent;  ///< when the probe was sent
    std::uint64_t m_index = 0; ///< the primary's last index in its answer
    /// When the first probe that reported m_index was sent.
    state::time_point m_first_seen;

    friend auto operator<=>(freshness_sample const&,
                            freshness_sample const&) = default;
};

/// Bounds the age of the data that reads return, by samples of the primary's
/// log that a majority of the members confirmed. Uses the local clock only.
class freshness
{
public:
    static constexpr std::size_t max_samples = 512;
    static constexpr std::size_t max_probes = 64;

    /// @param members the size of the group
    explicit freshness(std::size_t members);

    /// Changes the size of the group and discards answers of probes that are
    /// not confirmed yet.
    void set_members(std::size_t members);

    /// Records a probe of all members. Has to be called before the probe is
    /// sent.
    /// @param probe the number of the probe, higher than that of the previous
    ///     call
    /// @param now when the probe is sent
    void note_probe_sent(std::uint64_t probe, state::time_point now);

    /// @return when a probe was sent; nothing if that is no longer recorded
    std::optional<state::time_point> probe_sent(std::uint64_t probe) const;

    /// Records the status of a member. A status that answers no probe is
    /// ignored.
    /// @return true if the status confirmed a probe newer than the latest
    ///     sample
    bool note_status(state::member_status const& status);

    /// Determines how recent the data up to an index is.
    /// @return every write acknowledged before this time has at most this
    ///     index; nothing if no sample covers the index
    std::optional<state::time_point> as_of(std::uint64_t index) const;

    /// @return an upper bound of the age of the data up to an index. It
    ///     includes one millisecond, as the clock truncates to milliseconds
    std::optional<state::duration> age_bound(std::uint64_t index,
                                             state::time_point now) const;

    /// Finds the index that a read must cover to include every write
    /// acknowledged before a time.
    /// @return the lowest index that the samples prove sufficient; nothing if
    ///     no probe sent at that time or later was confirmed
    std::optional<std::uint64_t> index_covering(state::time_point time) const;

    /// @return the lowest index whose age is within a bound; nothing if none is
    ///     known
    std::optional<std::uint64_t> required_index(state::duration age,
                                                state::time_point now) const;

    /// @return when the first probe was sent that found the primary's log at
    ///     the index or beyond; nothing if none did
    std::optional<state::time_point> first_seen(std::uint64_t index) const;

    /// @return the latest sample; nothing if there is none
    std::optional<freshness_sample> latest() const;

    /// @return true if no probe was sent at the given time or later, so that a
    ///     new one is necessary to get a sample of that time
    bool needs_probe(state::time_point since) const;

    /// @return the samples, in ascending order of time and index
    std::deque<freshness_sample> const& samples() const { return m_samples; }

private:
    struct sent_probe
    {
        std::uint64_t m_number = 0;
        state::time_point m_sent;
    };

    struct primary_answer
    {
        sent_probe m_probe;
        state::term m_term;
        std::uint64_t m_index = 0;
    };

    struct member_answer
    {
        std::uint64_t m_probe = 0;
        state::term m_granted;
    };

    std::optional<sent_probe> find_probe(std::uint64_t number) const;
    void note_primary(state::member_status const& status);
    bool confirm();
    bool confirmed(primary_answer const& answer) const;
    void add(freshness_sample sample);
    void downsample();

    std::size_t m_members;
    std::deque<sent_probe> m_probes;
    std::deque<primary_answer> m_primary_answers;
    std::map<std::string, member_answer, std::less<>> m_answers;
    std::deque<freshness_sample> m_samples;
};

} // namespace camphortide::coordination
