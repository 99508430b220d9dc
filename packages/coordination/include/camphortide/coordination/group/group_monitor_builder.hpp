#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <camphortide/coordination/group/group_monitor.hpp>

namespace camphortide::coordination
{

/// Collects what a group monitor needs.
class group_monitor_builder
{
public:
    /// @param value names this process; must differ after a restart, since a
    ///     member grants a term again to the same proposer
    group_monitor_builder& proposer(std::string value);

    /// @param value makes this proposer's terms differ from others'; see
    ///     state::term::next
    group_monitor_builder& tag(std::uint64_t value);

    /// @param value the names of all members of the group
    group_monitor_builder& members(std::vector<std::string> value);

    group_monitor_builder& settings(group_settings const& value);

    /// @param value of the random waits; differs between instances
    group_monitor_builder& seed(std::uint64_t value);

    /// @return the monitor, or InvalidArgument without a proposer, without
    ///     members, with a member named twice, or with an interval that is
    ///     not positive
    absl::StatusOr<group_monitor> build() const;

private:
    friend class group_monitor;

    std::string m_proposer;
    std::uint64_t m_tag = 0;
    std::vector<std::string> m_members;
    group_settings m_settings;
    std::uint64_t m_seed = 0;
};

} // namespace camphortide::coordination
