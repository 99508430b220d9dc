#include <camphortide/coordination/request/log_view.hpp>

namespace camphortide::coordination
{

log_standing standing_of(state::log_position const& position,
                         log_view const& log)
{
    if (position.m_index == 0)
    {
        return log_standing::safe;
    }
    if (log.m_term == state::term() || position.m_term > log.m_term)
    {
        return log_standing::pending;
    }
    if (position.m_term == log.m_term)
    {
        return position.m_index <= log.m_safe ? log_standing::safe
                                              : log_standing::pending;
    }
    if (!log.m_history.contains(position, log.m_last))
    {
        return log_standing::absent;
    }
    return position.m_index <= log.m_safe ? log_standing::safe
                                          : log_standing::pending;
}

} // namespace camphortide::coordination
