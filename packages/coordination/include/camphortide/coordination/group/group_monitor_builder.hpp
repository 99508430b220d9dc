#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include <camphortide/coordination/group/group_monitor.hpp>

namespace camphortide::coordination
{

/// Collects the parameters of a group monitor.
class group_monitor_builder
{
public:
    /// @param value the name of this process; must differ after a restart,
    ///     since a member grants a term again to the same proposer
    group_monitor_builder& proposer(std::string value);

    /// @param value distinguishes the terms of this proposer from those of
    ///     others; see state::term::next
    group_monitor_builder& tag(std::uint64_t value);

    /// @param value the names of all members of the group
    group_monitor_builder& members(std::vector<std::string> value);

    group_monitor_builder& settings(group_settings const& value);

    /// @param value the seed of the random waits; differs between instances
    group_monitor_builder& seed(std::uint64_t value);

    /// @return the monitor, or InvalidArgument without a proposer, without
    ///     members, with an empty or repeated member name, or with a time
    ///     setting that is not positive
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
