#include <algorithm>

#include <camphortide/transport/instance/limit_conversion.hpp>

namespace camphortide::transport
{

namespace
{

constexpr double percent = 100.0;

} // namespace

coordination::entry_limits limits_of(state::catalogue_entry const& entry,
                                     std::size_t homes)
{
    auto const& limits = entry.m_limits;
    auto const home_count = static_cast<std::uint32_t>(homes);
    coordination::entry_limits result;
    result.m_name = entry.m_name;
    result.m_customer = entry.m_customer;
    result.m_class = entry.m_class_name;
    result.m_rate = static_cast<double>(limits.m_rate) / home_count;
    result.m_concurrency =
        std::max<std::uint32_t>(1, limits.m_concurrency / home_count);
    result.m_queue_length =
        std::max<std::uint32_t>(1, limits.m_queue_length / home_count);
    result.m_queue_time = limits.m_deadline;
    result.m_deadline = limits.m_deadline;
    result.m_priority = limits.m_priority;
    result.m_weight = limits.m_weight;
    result.m_retry_share = limits.m_retry_percent / percent;
    return result;
}

bool same_members(state::group_description const& left,
                  state::group_description const& right)
{
    return std::ranges::equal(left.m_members, right.m_members,
                              [](auto const& one, auto const& other) {
                                  return one.m_name == other.m_name &&
                                         one.m_address == other.m_address;
                              });
}

} // namespace camphortide::transport
