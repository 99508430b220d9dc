#include <camphortide/transport/access/outcome_conversion.hpp>

namespace camphortide::transport
{

v1::Outcome to_proto(state::outcome value)
{
    switch (value)
    {
    case state::outcome::executed:
        return v1::OUTCOME_EXECUTED;
    case state::outcome::not_executed:
        return v1::OUTCOME_NOT_EXECUTED;
    case state::outcome::unknown:
        break;
    }
    return v1::OUTCOME_UNKNOWN;
}

state::outcome from_proto(v1::Outcome value)
{
    switch (value)
    {
    case v1::OUTCOME_EXECUTED:
        return state::outcome::executed;
    case v1::OUTCOME_NOT_EXECUTED:
        return state::outcome::not_executed;
    default:
        return state::outcome::unknown;
    }
}

} // namespace camphortide::transport
