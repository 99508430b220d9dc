#include <algorithm>

#include <camphortide/coordination/fleet/group_selector.hpp>

namespace camphortide::coordination
{

void group_selector::update(group_homes const& homes)
{
    m_homes.set_homes(homes.m_homes);
    m_stand_ins.set_homes(homes.m_stand_ins);
    m_stands_in = homes.m_is_stand_in;
}

group_choice
group_selector::choose(std::vector<std::string> const& attempted,
                       home_selector::state_function const& state_of,
                       state::time_point now) const
{
    auto const home = m_homes.choose(attempted, state_of, now);
    group_choice choice;
    choice.m_instance = home.m_home;
    choice.m_connect = home.m_connect;
    choice.m_no_home = home.m_home == nullptr;
    choice.m_run_here = choice.m_no_home && m_stands_in;
    if (choice.m_no_home && !choice.m_run_here)
    {
        auto const stand_in = m_stand_ins.choose(attempted, state_of, now);
        choice.m_instance = stand_in.m_home;
        if (choice.m_connect == nullptr)
        {
            choice.m_connect = stand_in.m_connect;
        }
    }
    return choice;
}

void group_selector::refused(std::string const& instance, state::time_point now)
{
    m_homes.refused(instance, now);
    m_stand_ins.refused(instance, now);
}

bool group_selector::cut_off(
    std::function<bool(home_address const&)> const& is_silent) const
{
    return std::ranges::all_of(m_homes.homes(), is_silent) &&
           std::ranges::all_of(m_stand_ins.homes(), is_silent);
}

} // namespace camphortide::coordination
