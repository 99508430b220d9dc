#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/session/session_state.hpp>

namespace camphortide::coordination
{

/// A command that prepares a member's connection for a session.
struct setup_command
{
    enum class kind
    {
        reset,     ///< forget all values and prepared statements
        set_value, ///< m_name, m_text
        prepare    ///< m_name, m_text: the shape, m_write
    };

    kind m_kind = kind::reset;
    std::string m_name;
    std::string m_text;
    bool m_write = false;

    friend auto operator<=>(setup_command const&,
                            setup_command const&) = default;
};

/// The values and prepared statements that a member's connection holds.
/// Prepared statements are named by their shape, so that sessions share them.
class connection_setup
{
public:
    /// Most prepared statements that a connection keeps.
    static constexpr std::size_t max_prepared = 512;

    /// How much a connection differs from a session's values.
    enum class distance
    {
        same,  ///< nothing to send
        adds,  ///< some values to set
        resets ///< holds a value that the session doesn't have
    };

    distance distance_to(session_values const& values) const;

    /// Works out what to send before a session's statement, and counts it as
    /// done: close the connection if a command fails.
    /// @param values the session's
    /// @param shape what the statement executes, if it is prepared
    std::vector<setup_command>
    prepare_for(session_values const& values,
                std::optional<prepared_shape> const& shape);

    /// @return the name that a shape has here; empty if it isn't prepared
    std::string name_of(prepared_shape const& shape) const;

private:
    session_values m_values;
    std::map<prepared_shape, std::string> m_prepared;
    std::uint64_t m_last_name = 0;
};

} // namespace camphortide::coordination
