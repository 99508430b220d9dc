#pragma once

#include <compare>
#include <string>

namespace camphortide::state
{

/// Kind of a caller's statement.
enum class statement_kind
{
    begin,
    begin_read_only,
    commit,
    roll_back,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    malformed
};

/// One statement of a caller.
struct statement
{
    std::string m_id;   ///< chosen by the caller, forwarded unchanged
    std::string m_text; ///< forwarded unchanged
    statement_kind m_kind = statement_kind::malformed;
    std::string m_name;     ///< of a session value or a prepared statement
    std::string m_argument; ///< value, statement shape or EXECUTE arguments
    bool m_prepares_write = false; ///< only for the kind prepare

    friend auto operator<=>(statement const&, statement const&) = default;
};

} // namespace camphortide::state
