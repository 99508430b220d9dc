#include <algorithm>

#include <camphortide/coordination/primary/registration_grace.hpp>
#include <camphortide/proxy/fleet_control.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using transport::log_part;

void fleet_control::apply_members(object_watch::update const& update)
{
    auto const now = state::clock::now();
    std::set<std::string> present;
    bool changed = false;
    for (auto const& object : update.m_objects)
    {
        if (object.m_deleted)
        {
            continue;
        }
        auto const entry = platform::parse_member(object);
        if (!entry)
        {
            transport::log_warning(
                log_part::membership, "invalid member entry ignored",
                {{"name", object.m_name},
                 {"revision", to_string(object.m_revision)}});
            continue;
        }
        present.insert(entry->m_id);
        m_lapsed_members.note_registered(*entry);
        auto& cached = m_members[entry->m_id];
        if (cached.m_entry != *entry || cached.m_missing_since)
        {
            transport::log_info(log_part::membership, "member",
                                {{"member", entry->m_id},
                                 {"group", entry->m_group},
                                 {"address", entry->m_address},
                                 {"leaving", entry->m_leaving},
                                 {"primary", entry->m_claims_primary}});
            cached = {*entry, std::nullopt};
            changed = true;
        }
    }
    for (auto& [id, cached] : m_members)
    {
        auto const deleted = [&id = id](auto const& object)
        {
            return object.m_deleted && object.m_name == id;
        };
        bool const gone =
            update.m_snapshot
                ? !present.contains(id)
                : !present.contains(id) &&
                      std::any_of(update.m_objects.begin(),
                                  update.m_objects.end(), deleted);
        if (gone && !cached.m_missing_since)
        {
            cached.m_missing_since = now;
        }
    }
    if (changed)
    {
        update_member_entries();
        publish_view();
    }
}

void fleet_control::update_member_entries()
{
    m_member_entries.clear();
    for (auto const& [id, cached] : m_members)
    {
        m_member_entries.emplace(id, cached.m_entry);
    }
    update_member_data_centres();
}

void fleet_control::update_member_data_centres()
{
    std::map<std::string, member_places> places;
    for (auto const& [id, entry] : m_member_entries)
    {
        auto& group = places[entry.m_group];
        ++group.m_members;
        group.m_data_centres.insert(entry.m_data_centre);
    }
    for (auto const& [group, earlier] : m_member_places)
    {
        // A group that has lost a member keeps its homes until it is complete
        // again: the member usually returns.
        if (places[group].m_members < earlier.m_members)
        {
            places[group] = earlier;
        }
    }
    m_homes_outdated = m_homes_outdated || places != m_member_places;
    m_member_places = std::move(places);
}

void fleet_control::remove_missing_members(state::time_point now)
{
    auto const gone = std::erase_if(
        m_members,
        [this, now](auto const& entry)
        {
            auto const& since = entry.second.m_missing_since;
            // A member without an entry is still used for this long.
            bool const over =
                since && now - *since >= coordination::registration_grace;
            if (over)
            {
                transport::log_info(log_part::membership, "member removed",
                                    {{"member", entry.first}});
                m_lapsed_members.lapse(entry.second.m_entry, now);
            }
            return over;
        });
    m_lapsed_members.expire(now);
    if (gone > 0)
    {
        update_member_entries();
        publish_view();
    }
}

} // namespace camphortide::proxy
