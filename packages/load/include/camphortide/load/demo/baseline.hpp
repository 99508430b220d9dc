#pragma once

#include <span>
#include <string_view>

#include <camphortide/transport/gateway/gateway_policy.hpp>
#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::load
{

/// A simpler policy to compare the system with. Only the demonstration uses
/// it.
struct baseline
{
    std::string_view m_name;
    std::string_view m_summary; ///< one line
    transport::gateway_policy m_policy;
    bool m_every_instance_home = false;
    bool m_violates_guarantees = false; ///< by design
};

/// @return all baselines; the first is the system's default policy
std::span<baseline const> baselines();

/// @return the baseline of that name; null if there is none
baseline const* find_baseline(std::string_view name);

/// @return the deployment with the settings that the baseline changes
transport::deployment with_baseline(transport::deployment value,
                                    baseline const& how);

} // namespace camphortide::load
