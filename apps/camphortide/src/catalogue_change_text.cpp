#include "catalogue_change_text.hpp"

#include <map>
#include <string_view>
#include <vector>

namespace camphortide::command_line
{

namespace
{

template <typename Record>
std::vector<coordination::record_change<Record>>
differing(std::vector<Record> const& base, std::vector<Record> const& target)
{
    std::map<std::string, coordination::record_change<Record>> changes;
    for (auto const& record : base)
    {
        changes[record.m_name] = {record.m_name, record, std::nullopt};
    }
    for (auto const& record : target)
    {
        auto& change = changes[record.m_name];
        change.m_name = record.m_name;
        change.m_after = record;
    }
    std::vector<coordination::record_change<Record>> differing;
    for (auto const& [name, change] : changes)
    {
        auto const* const before =
            change.m_before ? &*change.m_before : nullptr;
        auto const* const after = change.m_after ? &*change.m_after : nullptr;
        if (!state::differing_fields(before, after).empty())
        {
            differing.push_back(change);
        }
    }
    return differing;
}

std::string fields_text(std::vector<state::catalogue_field> const& fields)
{
    std::string text;
    for (auto const field : fields)
    {
        text += text.empty() ? " " : ", ";
        text += to_string(field);
    }
    return text;
}

template <typename Record>
std::string lines(std::string_view what,
                  std::vector<coordination::record_change<Record>> const& all)
{
    std::string text;
    for (auto const& each : all)
    {
        bool const both = each.m_before && each.m_after;
        text += both ? "~ " : each.m_after ? "+ " : "- ";
        text += what;
        text += ' ';
        text += each.m_name;
        if (both)
        {
            text += ':';
            text += fields_text(
                state::differing_fields(&*each.m_before, &*each.m_after));
        }
        text += '\n';
    }
    return text;
}

} // namespace

coordination::catalogue_change make_change(state::catalogue const& base,
                                           state::catalogue const& target)
{
    coordination::catalogue_change change;
    change.m_groups = differing(base.groups(), target.groups());
    change.m_entries = differing(base.entries(), target.entries());
    return change;
}

std::string change_text(coordination::catalogue_change const& change)
{
    return lines("group", change.m_groups) + lines("entry", change.m_entries);
}

std::string result_text(coordination::edit_result const& result)
{
    std::string text(to_string(result.m_outcome));
    if (result.m_outcome == coordination::edit_outcome::accepted)
    {
        text += " as version " + std::to_string(result.m_version);
    }
    text += '\n';
    for (auto const& conflict : result.m_conflicts)
    {
        text += "  " + conflict.m_record + ": changed first by " +
                conflict.m_winner.m_operator + " in version " +
                std::to_string(conflict.m_winner.m_version) + ":" +
                fields_text(conflict.m_fields) + '\n';
    }
    for (auto const& problem : result.m_problems)
    {
        text += "  " + problem.m_subject + ": ";
        text += to_string(problem.m_kind);
        text += '\n';
    }
    return text;
}

} // namespace camphortide::command_line
