#include <camphortide/coordination/request/log_view.hpp>

namespace camphortide::coordination
{

position_status status_in_log(state::log_position const& position,
                              log_view const& log)
{
    if (position.m_index == 0)
    {
        return position_status::safe;
    }
    if (log.m_term == state::term() || position.m_term > log.m_term)
    {
        return position_status::pending;
    }
    if (position.m_term == log.m_term)
    {
        return position.m_index <= log.m_safe ? position_status::safe
                                              : position_status::pending;
    }
    if (!log.m_history.contains(position, log.m_last))
    {
        return position_status::absent;
    }
    return position.m_index <= log.m_safe ? position_status::safe
                                          : position_status::pending;
}

} // namespace camphortide::coordination
