#include <array>

#include <camphortide/state/statement_reply.hpp>

namespace camphortide::state
{

std::string_view to_string(statement_error error)
{
    static constexpr std::array<std::string_view, 13> names{
        "busy",        "aborted",   "lagging",          "read_only",
        "misrouted",   "overload",  "in_doubt",         "timed_out",
        "failed",      "malformed", "no_such_database", "no_such_statement",
        "unauthorized"};
    return names.at(static_cast<std::size_t>(error));
}

} // namespace camphortide::state
