#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <camphortide/coordination/group/group_settings.hpp>
#include <camphortide/coordination/group/group_view.hpp>

namespace camphortide::coordination
{

/// The part of a switchover before its promotion: writes are paused, those in
/// flight end, and a replica catches up with the last record.
class switchover
{
public:
    /// @param from the primary and its term
    /// @param target the member to promote; empty for any replica that is not
    ///     leaving; the primary itself to promote it again in a higher term
    /// @param deadline when writes must be admitted again
    switchover(group_primary const& from, std::string target,
               state::time_point deadline);

    /// Records that all writes admitted before the pause have ended.
    /// @param next_probe the next probe to be sent; the primary's answer to it
    ///     contains its last record
    void drained(std::uint64_t next_probe);

    /// @return a candidate that holds the primary's last record, if it may be
    ///     promoted now
    std::optional<std::string> ready(group_view const& view) const;

    /// @return true if the group's primary or its term has changed since the
    ///     start of the switchover
    bool superseded(group_view const& view) const;

    bool expired(state::time_point now) const { return now >= m_deadline; }
    bool is_drained() const { return m_probe.has_value(); }

private:
    bool is_candidate(state::member_status const& status) const;

    std::string m_from;
    state::term m_term;
    std::string m_target;
    state::time_point m_deadline;
    std::optional<std::uint64_t> m_probe;
};

} // namespace camphortide::coordination
