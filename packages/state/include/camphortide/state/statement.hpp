#pragma once

#include <compare>
#include <string>

namespace camphortide::state
{

/// What a caller's statement asks for.
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
    std::string m_id;   ///< chosen by the caller, passed on unchanged
    std::string m_text; ///< passed on unchanged
    statement_kind m_kind = statement_kind::malformed;
    std::string m_name;     ///< of a session value or a prepared statement
    std::string m_argument; ///< the value, the shape, or what EXECUTE runs on
    bool m_prepares_write = false; ///< of prepare only

    friend auto operator<=>(statement const&, statement const&) = default;
};

} // namespace camphortide::state
