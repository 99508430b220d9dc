#include <camphortide/coordination/request/statement_code.hpp>

namespace camphortide::coordination
{

std::string_view to_string(statement_code value)
{
    switch (value)
    {
    case statement_code::ok:
        return "ok";
    case statement_code::opened:
        return "opened";
    case statement_code::not_primary:
        return "not_primary";
    case statement_code::wrong_term:
        return "wrong_term";
    case statement_code::key_barred:
        return "key_barred";
    case statement_code::failed:
        return "failed";
    case statement_code::no_transaction:
        return "no_transaction";
    case statement_code::rolled_back:
        return "rolled_back";
    }
    return "invalid";
}

} // namespace camphortide::coordination
