#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstddef>
#include <set>
#include <string>
#include <string_view>

#include <camphortide/state/catalogue_validation.hpp>

namespace camphortide::state
{

namespace
{

constexpr std::size_t max_name_length = 128;
constexpr std::size_t hash_length = 64;
constexpr std::size_t max_members = 9;
constexpr duration max_deadline{600'000};
constexpr std::uint32_t max_percent = 100;

/// A validation rule for entries.
struct entry_rule
{
    problem_kind m_kind;
    bool (*m_is_violated)(catalogue_entry const&);
};

bool has_bad_hash(catalogue_entry const& entry)
{
    auto const& hash = entry.m_credential_hash;
    auto const is_digit = [](char digit)
    {
        return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
    };
    return hash.size() != hash_length || !std::ranges::all_of(hash, is_digit);
}

constexpr std::array entry_rules{
    entry_rule{problem_kind::missing_customer,
               [](catalogue_entry const& entry)
               {
                   return entry.m_customer.empty();
               }},
    entry_rule{problem_kind::missing_class,
               [](catalogue_entry const& entry)
               {
                   return entry.m_class_name.empty();
               }},
    entry_rule{problem_kind::bad_credential_hash, has_bad_hash},
    entry_rule{problem_kind::zero_rate,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_rate == 0;
               }},
    entry_rule{problem_kind::zero_concurrency,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_concurrency == 0;
               }},
    entry_rule{problem_kind::zero_connections,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_connections == 0;
               }},
    entry_rule{problem_kind::zero_deadline,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_deadline <= duration::zero();
               }},
    entry_rule{problem_kind::deadline_too_long,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_deadline > max_deadline;
               }},
    entry_rule{problem_kind::negative_age,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_age.value_or(duration::zero()) <
                          duration::zero();
               }},
    entry_rule{problem_kind::retry_share_too_large,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_retry_percent > max_percent;
               }},
    entry_rule{problem_kind::zero_weight,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_weight == 0;
               }},
    entry_rule{problem_kind::retention_too_short,
               [](catalogue_entry const& entry)
               {
                   return entry.m_limits.m_key_retention <
                          2 * entry.m_limits.m_deadline;
               }}};

bool is_name_character(char character)
{
    auto const code = static_cast<unsigned char>(character);
    return std::isalnum(code) != 0 || character == '-' || character == '_' ||
           character == '.' || character == ':';
}

void check_name(std::vector<catalogue_problem>& problems,
                std::string const& name)
{
    if (name.empty())
    {
        problems.push_back({problem_kind::empty_name, name});
    }
    if (name.size() > max_name_length)
    {
        problems.push_back({problem_kind::name_too_long, name});
    }
    if (!std::ranges::all_of(name, is_name_character))
    {
        problems.push_back({problem_kind::bad_name, name});
    }
}

bool is_address(std::string_view address)
{
    auto const colon = address.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
    {
        return false;
    }
    auto const port = address.substr(colon + 1);
    std::uint16_t number = 0;
    auto const* const end = port.data() + port.size();
    auto const parsed = std::from_chars(port.data(), end, number);
    return parsed.ec == std::errc() && parsed.ptr == end && number != 0;
}

void check_members(std::vector<catalogue_problem>& problems,
                   group_description const& group)
{
    std::set<std::string_view> names;
    for (auto const& member : group.m_members)
    {
        check_name(problems, member.m_name);
        if (!names.insert(member.m_name).second)
        {
            problems.push_back({problem_kind::duplicate_member, group.m_name});
        }
        if (!is_address(member.m_address))
        {
            problems.push_back({problem_kind::bad_address, group.m_name});
        }
        if (member.m_data_centre.empty())
        {
            problems.push_back(
                {problem_kind::missing_data_centre, group.m_name});
        }
    }
}

void check_group(std::vector<catalogue_problem>& problems,
                 group_description const& group)
{
    check_name(problems, group.m_name);
    check_members(problems, group);
    if (group.m_members.empty())
    {
        problems.push_back({problem_kind::too_few_members, group.m_name});
    }
    if (group.m_members.size() > max_members)
    {
        problems.push_back({problem_kind::too_many_members, group.m_name});
    }
    if (group.m_connection_limit == 0)
    {
        problems.push_back({problem_kind::zero_connection_limit, group.m_name});
    }
    if (group.m_slots == 0)
    {
        problems.push_back({problem_kind::zero_slots, group.m_name});
    }
}

void check_entry(std::vector<catalogue_problem>& problems,
                 catalogue const& value, catalogue_entry const& entry)
{
    check_name(problems, entry.m_name);
    for (auto const& rule : entry_rules)
    {
        if (rule.m_is_violated(entry))
        {
            problems.push_back({rule.m_kind, entry.m_name});
        }
    }
    auto const* const group = value.find_group(entry.m_group);
    if (group == nullptr)
    {
        problems.push_back({problem_kind::unknown_group, entry.m_name});
        return;
    }
    if (entry.m_limits.m_connections > group->m_connection_limit)
    {
        problems.push_back({problem_kind::too_many_connections, entry.m_name});
    }
}

template <class Record>
void check_duplicates(std::vector<catalogue_problem>& problems,
                      std::vector<Record> const& records, problem_kind kind)
{
    for (std::size_t index = 1; index < records.size(); ++index)
    {
        if (records[index].m_name == records[index - 1].m_name)
        {
            problems.push_back({kind, records[index].m_name});
        }
    }
}

} // namespace

std::vector<catalogue_problem> validate(catalogue const& value)
{
    std::vector<catalogue_problem> problems;
    check_duplicates(problems, value.groups(), problem_kind::duplicate_group);
    check_duplicates(problems, value.entries(), problem_kind::duplicate_entry);
    for (auto const& group : value.groups())
    {
        check_group(problems, group);
    }
    for (auto const& entry : value.entries())
    {
        check_entry(problems, value, entry);
    }
    return problems;
}

} // namespace camphortide::state
