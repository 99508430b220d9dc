#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace camphortide::state
{

/// Membership state of an instance. Of two reports about the same incarnation,
/// the one with the greater state takes precedence.
enum class instance_state
{
    live,
    suspected, ///< unresponsive; still counts as live for homes
    gone,      ///< unresponsive and did not refute it in time
    leaving    ///< announced its own stop; gets no new work
};

/// Membership record of an instance.
struct instance_record
{
    std::string m_name;
    std::string m_data_centre;       ///< empty in abbreviated records
    std::string m_address;           ///< HOST:PORT for peers; may be empty
    std::uint64_t m_incarnation = 0; ///< rises with every start and refutation
    instance_state m_state = instance_state::live;

    friend auto operator<=>(instance_record const&,
                            instance_record const&) = default;
};

/// @return true if an instance in this state may be a home and may get
///     forwarded requests
constexpr bool is_live(instance_state value)
{
    return value == instance_state::live || value == instance_state::suspected;
}

} // namespace camphortide::state
