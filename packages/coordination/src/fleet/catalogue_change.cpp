#include <algorithm>
#include <array>
#include <cstddef>

#include <camphortide/coordination/fleet/catalogue_change.hpp>
#include <camphortide/state/catalogue_builder.hpp>

namespace camphortide::coordination
{

namespace
{

state::change_stamp last_change(state::catalogue_head const& head,
                                std::string const& record)
{
    state::change_stamp result;
    for (auto const& accepted : head.m_history)
    {
        if (std::ranges::find(accepted.m_records, record) !=
            accepted.m_records.end())
        {
            result = accepted.m_stamp;
        }
    }
    return result;
}

template <class Record>
void find_conflict(std::vector<catalogue_conflict>& conflicts,
                   record_change<Record> const& change, Record const* current,
                   state::catalogue_head const& head)
{
    auto const* before = change.m_before ? &*change.m_before : nullptr;
    auto fields = state::differing_fields(before, current);
    if (fields.empty())
    {
        return;
    }
    auto const winner = current != nullptr ? current->m_stamp
                                           : last_change(head, change.m_name);
    conflicts.push_back({change.m_name, winner, std::move(fields)});
}

} // namespace

std::string_view to_string(edit_outcome value)
{
    static constexpr std::array<std::string_view, 8> names{
        "pending", "accepted", "conflict",    "invalid",
        "barred",  "damaged",  "unavailable", "undetermined"};
    return names.at(static_cast<std::size_t>(value));
}

state::catalogue apply_change(state::catalogue const& base,
                              catalogue_change const& change,
                              std::uint64_t version)
{
    state::change_stamp const stamp{change.m_id, change.m_operator, version};
    state::catalogue_builder builder(base);
    builder.version(version);
    for (auto const& item : change.m_groups)
    {
        builder.remove_group(item.m_name);
        if (item.m_after)
        {
            auto group = *item.m_after;
            group.m_stamp = stamp;
            builder.add(std::move(group));
        }
    }
    for (auto const& item : change.m_entries)
    {
        builder.remove_entry(item.m_name);
        if (item.m_after)
        {
            auto entry = *item.m_after;
            entry.m_stamp = stamp;
            builder.add(std::move(entry));
        }
    }
    return builder.build();
}

std::vector<catalogue_conflict>
find_conflicts(state::catalogue const& base, catalogue_change const& change,
               state::catalogue_head const& head)
{
    std::vector<catalogue_conflict> result;
    for (auto const& item : change.m_groups)
    {
        find_conflict(result, item, base.find_group(item.m_name), head);
    }
    for (auto const& item : change.m_entries)
    {
        find_conflict(result, item, base.find_entry(item.m_name), head);
    }
    return result;
}

} // namespace camphortide::coordination
