#pragma once

#include <string_view>

namespace camphortide::coordination
{

/// The code of a member's answer to a statement. The values are those of
/// camphortide.endpoint.v1.StatementCode.
enum class statement_code
{
    ok = 1,
    opened = 2,
    not_primary = 3,    ///< did not run
    wrong_term = 4,     ///< did not run
    key_barred = 5,     ///< did not run and never will
    failed = 6,         ///< ended with an error; no effect
    no_transaction = 7, ///< did not run
    rolled_back = 8     ///< no effect
};

/// @return the code's name as logs and reports print it
std::string_view to_string(statement_code value);

} // namespace camphortide::coordination
