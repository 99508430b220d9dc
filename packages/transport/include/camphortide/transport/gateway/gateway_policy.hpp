#pragma once

#include <memory>

#include <camphortide/coordination/request/read_strategy.hpp>

namespace camphortide::transport
{

/// How gateways serve requests. No setting changes it: policies other than the
/// default serve only for measurements inside one process.
struct gateway_policy
{
    using strategy_factory = std::unique_ptr<coordination::read_strategy> (*)();

    strategy_factory m_make_read_strategy = coordination::make_covering_replica;
    /// Acknowledges a write as soon as the primary has it. Breaks the guarantee
    /// that acknowledged writes are not lost.
    bool m_primary_acknowledges = false;

    friend bool operator==(gateway_policy const&,
                           gateway_policy const&) = default;
};

} // namespace camphortide::transport
