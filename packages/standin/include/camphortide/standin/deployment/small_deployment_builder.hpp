#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <camphortide/transport/settings/deployment.hpp>

namespace camphortide::standin
{

/// Describes a deployment for tests and benchmarks, without latencies but the
/// replication's: one group "loans" of the members a, b and c, each in a data
/// centre of its own, and one entry "checkouts" of the owner "desks", whose
/// credential is "secret". Owner "parents" with credential "other" has no
/// entry.
class small_deployment_builder
{
public:
    /// @param count how many instances, named entry-1 and so on; 1 if not set
    small_deployment_builder& instances(std::size_t count);

    /// @param count homes of the group; nothing: every instance, as if not set
    small_deployment_builder& homes(std::optional<std::uint32_t> count);

    /// @param slots statements that a member runs at a time
    /// @param connections the limit of each member
    small_deployment_builder& members(std::uint32_t slots,
                                      std::uint32_t connections);

    /// @param lag until a replica receives a record
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
