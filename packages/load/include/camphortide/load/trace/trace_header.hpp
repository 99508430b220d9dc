#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include <camphortide/coordination/group/group_settings.hpp>

namespace camphortide::load
{

/// What a group monitor was built from.
struct trace_header
{
    static constexpr int version = 1;

    std::string m_name; ///< what the trace shows
    std::string m_proposer;
    std::uint64_t m_tag = 0;
    std::uint64_t m_seed = 0;
    std::vector<std::string> m_members;
    coordination::group_settings m_settings;

    friend auto operator<=>(trace_header const&, trace_header const&) = default;
};

/// How a trace ends.
struct trace_outcome
{
    std::string m_primary; ///< the primary for writes; empty: none
    std::uint64_t m_term = 0;
    std::uint64_t m_promotions = 0; ///< begun by this monitor

    friend auto operator<=>(trace_outcome const&,
                            trace_outcome const&) = default;
};

} // namespace camphortide::load
