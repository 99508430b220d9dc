#pragma once

#include <map>
#include <string>
#include <string_view>

namespace camphortide::standin
{

/// The contents of a stand-in database.
using table = std::map<std::string, std::string, std::less<>>;

/// Result of a statement, or the message of its failure.
struct statement_result
{
    bool m_ok = false;
    std::string m_text;
};

/// Runs one statement of the stand-in's statement language:
///     get KEY | set KEY VALUE | add KEY NUMBER | claim KEY VALUE
/// A claim fails if the key is already set.
/// @param rows the table to read and, for a write, to change
/// @param text the statement
/// @return the value read or written, or a failure with its message
statement_result run_statement(table& rows, std::string_view text);

/// Runs one read-only statement.
/// @return the value read, or a failure if the statement is not a get
statement_result run_query(table const& rows, std::string_view text);

/// @return the key in a statement; empty if it has none
std::string_view statement_key(std::string_view text);

} // namespace camphortide::standin
