#include <algorithm>

#include <camphortide/coordination/fleet/stop_targets.hpp>

namespace camphortide::coordination
{

std::string_view host_of(std::string_view address)
{
    return address.substr(0, address.rfind(':'));
}

std::vector<group_member> stop_targets(state::planned_stop const& stop,
                                       state::catalogue const& catalogue)
{
    std::vector<group_member> result;
    if (stop.m_kind == state::stop_kind::instance)
    {
        return result;
    }
    if (stop.m_kind != state::stop_kind::endpoint)
    {
        auto const* group = catalogue.find_group(stop.m_group);
        bool const is_known =
            group != nullptr &&
            std::ranges::find(group->m_members, stop.m_target,
                              &state::member_description::m_name) !=
                group->m_members.end();
        if (is_known)
        {
            result.push_back({stop.m_group, stop.m_target});
        }
        return result;
    }
    for (auto const& group : catalogue.groups())
    {
        for (auto const& member : group.m_members)
        {
            if (host_of(member.m_address) == stop.m_target)
            {
                result.push_back({group.m_name, member.m_name});
            }
        }
    }
    return result;
}

std::size_t stoppable_members(state::group_description const& group)
{
    auto const members = group.m_members.size();
    return members - (members / 2 + 1);
}

} // namespace camphortide::coordination
