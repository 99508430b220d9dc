#include <camphortide/state/outcome.hpp>

namespace camphortide::state
{

std::string_view to_string(outcome value)
{
    switch (value)
    {
    case outcome::executed:
        return "executed";
    case outcome::not_executed:
        return "not_executed";
    case outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

std::string_view to_string(reason value)
{
    switch (value)
    {
    case reason::none:
        return "none";
    case reason::rate_limit:
        return "rate_limit";
    case reason::concurrency_limit:
        return "concurrency_limit";
    case reason::queue_full:
        return "queue_full";
    case reason::deadline_too_short:
        return "deadline_too_short";
    case reason::deadline_exceeded:
        return "deadline_exceeded";
    case reason::no_primary:
        return "no_primary";
    case reason::no_replica:
        return "no_replica";
    case reason::term_superseded:
        return "term_superseded";
    case reason::connection_lost:
        return "connection_lost";
    case reason::key_barred:
        return "key_barred";
    case reason::statement_failed:
        return "statement_failed";
    case reason::unknown_entry:
        return "unknown_entry";
    case reason::bad_credential:
        return "bad_credential";
    case reason::wrong_customer:
        return "wrong_customer";
    case reason::bad_token:
        return "bad_token";
    case reason::bad_request:
        return "bad_request";
    case reason::draining:
        return "draining";
    case reason::no_home:
        return "no_home";
    case reason::transaction_lost:
        return "transaction_lost";
    case reason::too_old:
        return "too_old";
    case reason::key_conflict:
        return "key_conflict";
    case reason::too_large:
        return "too_large";
    case reason::cancelled:
        return "cancelled";
    case reason::no_catalogue:
        return "no_catalogue";
    case reason::internal:
        return "internal";
    }
    return "invalid";
}

} // namespace camphortide::state
