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

/// A command that prepares a member's connection for a session's statement.
struct setup_command
{
    enum class kind
    {
        /// Discards all values and prepared statements.
        reset,
        /// Sets the value m_name to m_text.
        set_value,
        /// Prepares the shape of m_text and m_write under the name m_name.
        prepare
    };

    kind m_kind = kind::reset;
    std::string m_name;
    std::string m_text;
    bool m_write = false;

    friend auto operator<=>(setup_command const&,
                            setup_command const&) = default;
};

/// The session values and prepared statements that are set up on a member's
/// connection. Prepared statements are keyed by their shape, so that sessions
/// share them.
class connection_setup
{
public:
    /// Maximum number of prepared statements on a connection.
    static constexpr std::size_t max_prepared = 512;

    /// How much the connection's values differ from a session's, in ascending
    /// order of the cost of changing them.
    enum class distance
    {
        /// Nothing has to be sent.
        same,
        /// Some values have to be set.
        adds,
        /// The connection has a value that the session doesn't have.
        resets
    };

    /// @return how much the connection's values differ from a session's
    distance distance_to(session_values const& values) const;

    /// Works out what to send before a session's statement, and counts it as
    /// done: close the connection if a command fails.
    /// @param values the session's
    /// @param shape what the statement executes, if it is prepared
    std::vector<setup_command>
    /// Determines the commands to send before a session's statement, and
    /// records them as executed: close the connection if one fails.
    /// @param values the session's values
    /// @param shape shape of the prepared statement to execute, if any
    prepare_for(session_values const& values,
                std::optional<prepared_shape> const& shape);

    /// @return the name under which a shape is prepared on the connection;
    ///     empty if it isn't
    std::string name_of(prepared_shape const& shape) const;

private:
    session_values m_values;
    std::map<prepared_shape, std::string> m_prepared;
    std::uint64_t m_last_name = 0;
};

} // namespace camphortide::coordination
