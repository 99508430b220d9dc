#include <utility>

#include <camphortide/coordination/fleet/instance_table.hpp>
#include <camphortide/coordination/fleet/rendezvous.hpp>

namespace camphortide::coordination
{

std::uint64_t checksum_share(state::instance_record const& record)
{
    if (!state::is_live(record.m_state))
    {
        return 0;
    }
    return mix(hash_name(record.m_name) ^ mix(record.m_incarnation));
}

void instance_table::toggle(known_instance const& known)
{
    m_checksum ^= checksum_share(known.m_record);
}

void instance_table::note_suspicion(state::instance_record const& record)
{
    if (record.m_state == state::instance_state::suspected)
    {
        m_suspected.insert(record.m_name);
        return;
    }
    m_suspected.erase(record.m_name);
}

bool instance_table::merge(state::instance_record const& report,
                           state::time_point now)
{
    auto const place = m_known.find(report.m_name);
    if (place == m_known.end())
    {
        if (m_known.size() >= m_most)
        {
            return false;
        }
        known_instance added;
        added.m_record = report;
        added.m_hash = hash_name(report.m_name);
        added.m_changed = now;
        note_suspicion(report);
        toggle(m_known.emplace(report.m_name, std::move(added)).first->second);
        ++m_revision;
        return true;
    }
    known_instance& known = place->second;
    auto& record = known.m_record;
    bool const newer = report.m_incarnation > record.m_incarnation ||
                       (report.m_incarnation == record.m_incarnation &&
                        report.m_state > record.m_state);
    if (!newer)
    {
        bool const completes =
            record.m_address.empty() && !report.m_address.empty();
        if (completes)
        {
            record.m_address = report.m_address;
            record.m_data_centre = report.m_data_centre;
            ++m_revision;
        }
        return false;
    }
    toggle(known);
    if (report.m_incarnation > record.m_incarnation)
    {
        known.m_catalogue = 0; // it may have been started anew
    }
    record.m_incarnation = report.m_incarnation;
    record.m_state = report.m_state;
    if (!report.m_address.empty())
    {
        record.m_address = report.m_address;
        record.m_data_centre = report.m_data_centre;
    }
    toggle(known);
    note_suspicion(record);
    known.m_changed = now;
    ++m_revision;
    return true;
}

known_instance* instance_table::find(std::string const& name)
{
    auto const place = m_known.find(name);
    return place == m_known.end() ? nullptr : &place->second;
}

void instance_table::forget(state::time_point before)
{
    std::erase_if(m_known,
                  [before](auto const& item)
                  {
                      auto const& known = item.second;
                      return !state::is_live(known.m_record.m_state) &&
                             known.m_changed < before;
                  });
}

} // namespace camphortide::coordination
