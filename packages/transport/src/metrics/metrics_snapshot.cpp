#include <numeric>

#include <camphortide/transport/metrics/metrics_snapshot.hpp>

namespace camphortide::transport
{

std::uint64_t class_snapshot::count(state::outcome of) const
{
    auto const& reasons = m_outcomes.at(static_cast<std::size_t>(of));
    return std::accumulate(reasons.begin(), reasons.end(), std::uint64_t{0});
}

std::uint64_t class_snapshot::count(state::outcome of, state::reason why) const
{
    return m_outcomes.at(static_cast<std::size_t>(of))
        .at(static_cast<std::size_t>(why));
}

std::uint64_t class_snapshot::count(request_route by) const
{
    return m_routes.at(static_cast<std::size_t>(by));
}

} // namespace camphortide::transport
