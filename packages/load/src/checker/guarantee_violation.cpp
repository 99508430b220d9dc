#include <camphortide/load/checker/guarantee_violation.hpp>

namespace camphortide::load
{

std::string_view to_string(guarantee value)
{
    switch (value)
    {
    case guarantee::acknowledged_writes_stay:
        return "acknowledged writes stay";
    case guarantee::at_most_once:
        return "at most once";
    case guarantee::not_executed_is_true:
        return "not executed is true";
    case guarantee::read_your_writes:
        return "read your writes";
    case guarantee::monotonic_reads:
        return "monotonic reads";
    case guarantee::age_of_answers:
        return "age of answers";
    case guarantee::own_answers:
        return "own answers";
    case guarantee::unmixed_transactions:
        return "unmixed transactions";
    case guarantee::whole_transactions:
        return "whole transactions";
    case guarantee::no_work_for_leavers:
        return "no work for leavers";
    case guarantee::stops_interrupt_nothing:
        return "stops interrupt nothing";
    case guarantee::catalogue_in_force:
        return "catalogue in force";
    }
    return "unknown";
}

} // namespace camphortide::load
