#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace camphortide::state
{

/// What an instance is held to be. Of two reports of one incarnation the
/// greater state is kept.
enum class instance_state
{
    live,
    suspected, ///< did not answer; still counts as live for homes
    gone,      ///< did not answer and did not object in time
    leaving    ///< said so itself; gets no new work
};

/// What is known of an instance.
struct instance_record
{
    std::string m_name;
    std::string m_data_centre; ///< empty in short reports
    std::string m_address;     ///< HOST:PORT of the peer socket; may be empty
    std::uint64_t m_incarnation = 0; ///< rises with every start and objection
    instance_state m_state = instance_state::live;

    friend auto operator<=>(instance_record const&,
                            instance_record const&) = default;
};

/// @return true if the instance may be a home and gets forwarded requests
constexpr bool is_live(instance_state value)
{
    return value == instance_state::live || value == instance_state::suspected;
}

} // namespace camphortide::state
