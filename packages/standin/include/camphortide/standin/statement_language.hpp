#pragma once

#include <map>
#include <string>
#include <string_view>

namespace camphortide::standin
{

/// The contents of a stand-in database.
using table = std::map<std::string, std::string, std::less<>>;

/// What running a statement gave.
struct statement_result
{
    bool m_ok = false;
    std::string m_text;
};

/// Runs one statement of the stand-in's small language:
///     get KEY | set KEY VALUE | add KEY NUMBER | claim KEY VALUE
/// A claim fails where the key is already set.
/// @param rows the table to read and, for a write, to change
/// @param text the statement
/// @return the value read or written, or a failure with its message
statement_result run_statement(table& rows, std::string_view text);

/// Runs one statement that must not change the table.
/// @return the value read, or a failure for any statement but get
statement_result run_query(table const& rows, std::string_view text);

/// @return the key that a statement names; empty if it names none
std::string_view statement_key(std::string_view text);

} // namespace camphortide::standin
