#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::standin
{

/// Builds a deployment for tests and benchmarks. Its only latency is that of
/// the replication. It has one group "loans" with the members a, b and c, each
/// in its own data centre, and one entry "checkouts" of the customer "desks"
/// with the credential "secret". The customer "parents" with the credential
/// "other" has no entry.
class small_deployment_builder
{
public:
    /// @param count number of instances, named entry-1, entry-2, ...; default 1
    small_deployment_builder& instances(std::size_t count);

    /// @param count number of homes of the group; nothing (the default): every
    ///     instance is a home
    small_deployment_builder& homes(std::optional<std::uint32_t> count);

    /// @param slots statements that a member runs concurrently
    /// @param connections connection limit of each member
    small_deployment_builder& members(std::uint32_t slots,
                                      std::uint32_t connections);

    /// @param lag from a record's commit to its receipt by a replica
    small_deployment_builder& receive_lag(std::chrono::microseconds lag);

    /// @param limits of the entry
    small_deployment_builder& limits(state::entry_limits const& limits);

    transport::deployment build() const;

private:
    transport::deployment_group make_group() const;

    std::size_t m_instances = 1;
    std::optional<std::uint32_t> m_homes;
    std::optional<std::uint32_t> m_slots;
    std::optional<std::uint32_t> m_connections;
    std::optional<std::chrono::microseconds> m_receive_lag;
    state::entry_limits m_limits;
};

} // namespace camphortide::standin
