#include <camphortide/load/checker/promise_break.hpp>

namespace camphortide::load
{

std::string_view to_string(promise value)
{
    switch (value)
    {
    case promise::acknowledged_writes_stay:
        return "acknowledged writes stay";
    case promise::at_most_once:
        return "at most once";
    case promise::not_executed_is_true:
        return "not executed is true";
    case promise::read_your_writes:
        return "read your writes";
    case promise::monotonic_reads:
        return "monotonic reads";
    case promise::age_of_answers:
        return "age of answers";
    case promise::own_answers:
        return "own answers";
    case promise::unmixed_transactions:
        return "unmixed transactions";
    case promise::whole_transactions:
        return "whole transactions";
    case promise::no_work_for_leavers:
        return "no work for leavers";
    case promise::stops_interrupt_nothing:
        return "stops interrupt nothing";
    case promise::catalogue_in_force:
        return "catalogue in force";
    }
    return "unknown";
}

} // namespace camphortide::load
