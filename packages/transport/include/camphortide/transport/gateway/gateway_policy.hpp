#pragma once

#include <memory>

#include <camphortide/coordination/request/read_strategy.hpp>

namespace camphortide::transport
{

/// How gateways serve requests. No setting reaches it: other policies than
/// the default are for measurements inside one process.
struct gateway_policy
{
    using strategy_factory = std::unique_ptr<coordination::read_strategy> (*)();

    strategy_factory m_make_read_strategy = coordination::make_covering_replica;
    /// Acknowledges writes on the primary's word alone. Breaks the promise
    /// that acknowledged writes stay.
    bool m_primary_acknowledges = false;

    friend bool operator==(gateway_policy const&,
                           gateway_policy const&) = default;
};

} // namespace camphortide::transport
