#include <algorithm>
#include <utility>

#include <camphortide/coordination/group/group_monitor_builder.hpp>

namespace camphortide::coordination
{

namespace
{

bool are_distinct_names(std::vector<std::string> names)
{
    std::ranges::sort(names);
    return !names.empty() && !names.front().empty() &&
           std::ranges::adjacent_find(names) == names.end();
}

bool has_positive_times(group_settings const& settings)
{
    state::duration const intervals[] = {
        settings.m_probe_interval, settings.m_fast_probe_interval,
        settings.m_suspicion,      settings.m_broken_suspicion,
        settings.m_freshness,      settings.m_pause_limit,
        settings.m_retry_interval, settings.m_promotion_timeout};
    return std::ranges::min(intervals) > state::duration(0);
}

} // namespace

group_monitor_builder& group_monitor_builder::proposer(std::string value)
{
    m_proposer = std::move(value);
    return *this;
}

group_monitor_builder& group_monitor_builder::tag(std::uint64_t value)
{
    m_tag = value;
    return *this;
}

group_monitor_builder&
group_monitor_builder::members(std::vector<std::string> value)
{
    m_members = std::move(value);
    return *this;
}

group_monitor_builder&
group_monitor_builder::settings(group_settings const& value)
{
    m_settings = value;
    return *this;
}

group_monitor_builder& group_monitor_builder::seed(std::uint64_t value)
{
    m_seed = value;
    return *this;
}

absl::StatusOr<group_monitor> group_monitor_builder::build() const
{
    if (m_proposer.empty())
    {
        return absl::InvalidArgumentError("proposer is empty");
    }
    if (!are_distinct_names(m_members))
    {
        return absl::InvalidArgumentError(
            "member names are missing, empty or repeated");
    }
    if (!has_positive_times(m_settings))
    {
        return absl::InvalidArgumentError("a time setting is not positive");
    }
    return group_monitor(*this);
}

} // namespace camphortide::coordination
