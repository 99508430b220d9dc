#include <numeric>

#include <camphortide/transport/metrics/metrics_snapshot.hpp>

namespace camphortide::transport
{

std::uint64_t class_snapshot::count(state::outcome outcome) const
{
    auto const& reasons = m_outcomes.at(static_cast<std::size_t>(outcome));
    return std::accumulate(reasons.begin(), reasons.end(), std::uint64_t{0});
}

std::uint64_t class_snapshot::count(state::outcome outcome,
                                    state::reason reason) const
{
    return m_outcomes.at(static_cast<std::size_t>(outcome))
        .at(static_cast<std::size_t>(reason));
}

std::uint64_t class_snapshot::count(request_route route) const
{
    return m_routes.at(static_cast<std::size_t>(route));
}

} // namespace camphortide::transport
