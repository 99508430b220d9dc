#include "deployment_schema.hpp"

#include <algorithm>
#include <utility>

#include <camphortide/transport/access/authenticator.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace camphortide::transport
{

namespace
{

std::string address_of(std::vector<deployed_member> const& addresses,
                       std::string const& member)
{
    auto const it = std::find_if(addresses.begin(), addresses.end(),
                                 [&member](deployed_member const& each)
                                 { return each.m_name == member; });
    return it == addresses.end() ? std::string() : it->m_address;
}

std::string hash_of(deployment const& value, std::string const& customer)
{
    auto const it =
        std::find_if(value.m_customers.begin(), value.m_customers.end(),
                     [&customer](deployment_customer const& each)
                     { return each.m_name == customer; });
    return it == value.m_customers.end() ? std::string()
                                         : credential_hash(it->m_credential);
}

state::group_description
make_group(deployment_group const& group,
           std::vector<deployed_member> const& addresses)
{
    state::group_description result;
    result.m_name = group.m_name;
    result.m_connection_limit = group.m_connections;
    result.m_slots = group.m_slots;
    for (auto const& member : group.m_members)
    {
        result.m_members.push_back({member.m_name,
                                    address_of(addresses, member.m_name),
                                    member.m_data_centre, false});
    }
    return result;
}

} // namespace

checked<deployment> parse_deployment(std::string const& file,
                                     std::string const& text)
{
    reading_context context{file, {}, {}};
    json const document = parse_json(file, text, context.m_errors);
    if (!context.m_errors.empty())
    {
        return {{}, std::move(context.m_errors)};
    }
    error_reporter const reporter(context);
    auto value = deployment_schema().read(document, reporter);
    if (context.m_errors.empty())
    {
        check_deployment(value, reporter);
    }
    return {std::move(value), std::move(context.m_errors)};
}

checked<deployment> read_deployment_file(std::string const& path)
{
    std::vector<setting_error> errors;
    auto const text = read_file(path, errors);
    if (!errors.empty())
    {
        return {{}, std::move(errors)};
    }
    return parse_deployment(path, text);
}

state::catalogue make_catalogue(deployment const& value,
                                std::vector<deployed_member> const& addresses)
{
    std::vector<state::group_description> groups;
    groups.reserve(value.m_groups.size());
    for (auto const& group : value.m_groups)
    {
        groups.push_back(make_group(group, addresses));
    }
    std::vector<state::catalogue_entry> entries;
    for (auto const& entry : value.m_entries)
    {
        for (auto const& group : entry.m_groups)
        {
            entries.push_back({catalogue_entry_name(entry, group),
                               entry.m_customer,
                               entry.m_class_name,
                               group,
                               hash_of(value, entry.m_customer),
                               entry.m_limits,
                               {}});
        }
    }
    return {1, std::move(entries), std::move(groups)};
}

std::string catalogue_entry_name(deployment_entry const& entry,
                                 std::string_view group)
{
    if (entry.m_groups.size() == 1)
    {
        return entry.m_name;
    }
    std::string name = entry.m_name;
    name += '.';
    name += group;
    return name;
}

} // namespace camphortide::transport
