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

/// A confirmed statement about a group's log: every write acknowledged
/// before m_sent lies at or below m_index.
struct freshness_sample
{
    state::time_point m_sent;       ///< when the probe was sent
    std::uint64_t m_index = 0;      ///< the primary's last index in its answer
    state::time_point m_first_seen; ///< first probe that found m_index

    friend auto operator<=>(freshness_sample const&,
                            freshness_sample const&) = default;
};

/// Bounds the age of what reads return, by samples of the primary's log that
/// a majority of the members confirmed. Uses the local clock only.
class freshness
{
public:
    static constexpr std::size_t max_samples = 512;
    static constexpr std::size_t max_probes = 64;

    /// @param members the size of the group
    explicit freshness(std::size_t members);

    /// Changes the size of the group; forgets answers that are incomplete.
    void set_members(std::size_t members);

    /// Notes a probe to all members. Call it before the probe is sent.
    /// @param probe rises with each call
    void note_probe_sent(std::uint64_t probe, state::time_point now);

    /// @return when a probe was sent; nothing if that is not known any more
    std::optional<state::time_point> probe_sent(std::uint64_t probe) const;

    /// Takes the status of a member. One that answers no probe is ignored.
    /// @return true if a probe is now confirmed that was not before
    bool note_status(state::member_status const& status);

    /// Looks up how recent the data up to an index is.
    /// @return every write acknowledged before this time lies at or below
    ///     the index; nothing if no sample tells
    std::optional<state::time_point> as_of(std::uint64_t index) const;

    /// @return an upper bound of the age of the data up to an index; the
    ///     clock cuts off parts of a millisecond, which the bound includes
    std::optional<state::duration> age_bound(std::uint64_t index,
                                             state::time_point now) const;

    /// Finds what a read must cover to hold every write acknowledged before
    /// a time.
    /// @return the least index that is known to; nothing if no probe was
    ///     confirmed that was sent at that time or later
    std::optional<std::uint64_t> index_covering(state::time_point time) const;

    /// @return the least index whose age is within a bound; nothing if none
    ///     is known
    std::optional<std::uint64_t> required_index(state::duration age,
                                                state::time_point now) const;

    /// @return when a probe first found the primary's log at the index or
    ///     beyond; nothing if none did
    std::optional<state::time_point> first_seen(std::uint64_t index) const;

    /// @return the newest sample; nothing if there is none
    std::optional<freshness_sample> latest() const;

    /// @return true if a probe has to be sent so that one will be confirmed
    ///     that was sent at a time or later
    bool needs_probe(state::time_point since) const;

    /// @return the samples, rising in time and index
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
