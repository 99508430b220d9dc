#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/coordination/group/group_settings.hpp>

namespace camphortide::load
{

/// Header of a trace: the parameters of its group monitor.
struct trace_header
{
    static constexpr int version = 1;

    std::string m_name; ///< name of the scenario
    std::string m_proposer;
    std::uint64_t m_tag = 0;
    std::uint64_t m_seed = 0;
    std::vector<std::string> m_members;
    coordination::group_settings m_settings;

    friend auto operator<=>(trace_header const&, trace_header const&) = default;
};

/// The state of the monitor at the end of a trace.
struct trace_outcome
{
    std::string m_primary; ///< primary that receives writes; empty: none
    std::uint64_t m_term = 0;
    std::uint64_t m_promotions = 0; ///< started by this monitor

    friend auto operator<=>(trace_outcome const&,
                            trace_outcome const&) = default;
};

} // namespace camphortide::load
