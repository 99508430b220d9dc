#pragma once

#include <cstdint>

#include <camphortide/state/fleet_records.hpp>

namespace camphortide::coordination
{

/// Number of fencing tokens in an era of the store. Each era has its own range,
/// so that a token is never used again after records of it were lost.
inline constexpr std::uint64_t tokens_per_era = std::uint64_t{1} << 32U;

/// @return the era of the store in which a fencing token was first used
constexpr std::uint64_t era_of_token(std::uint64_t token)
{
    return token / tokens_per_era;
}

/// @param record a term record or a duty record
/// @return true if the record was written in the era of the store in which it
///     was read. One of an earlier era shows what was true some time before the
///     store came back from a copy, and permits nothing.
template <typename Record>
bool is_of_current_era(state::stored<Record> const& record)
{
    return era_of_token(record.m_record.m_token) == record.m_revision.era();
}

} // namespace camphortide::coordination
