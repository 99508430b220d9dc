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

void instance_table::toggle_checksum(tracked_instance const& tracked)
{
    m_checksum ^= checksum_share(tracked.m_record);
}

void instance_table::update_suspected(state::instance_record const& record)
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
    auto const found = m_instances.find(report.m_name);
    if (found == m_instances.end())
    {
        if (m_instances.size() >= m_max_instances)
        {
            return false;
        }
        tracked_instance added;
        added.m_record = report;
        added.m_name_hash = hash_name(report.m_name);
        added.m_state_changed = now;
        update_suspected(report);
        toggle_checksum(
            m_instances.emplace(report.m_name, std::move(added)).first->second);
        ++m_revision;
        return true;
    }
    tracked_instance& tracked = found->second;
    auto& record = tracked.m_record;
    bool const newer = report.m_incarnation > record.m_incarnation ||
                       (report.m_incarnation == record.m_incarnation &&
                        report.m_state > record.m_state);
    if (!newer)
    {
        bool const adds_address =
            record.m_address.empty() && !report.m_address.empty();
        if (adds_address)
        {
            record.m_address = report.m_address;
            record.m_data_centre = report.m_data_centre;
            ++m_revision;
        }
        return false;
    }
    toggle_checksum(tracked);
    if (report.m_incarnation > record.m_incarnation)
    {
        tracked.m_catalogue = 0; // the instance may have restarted
    }
    record.m_incarnation = report.m_incarnation;
    record.m_state = report.m_state;
    if (!report.m_address.empty())
    {
        record.m_address = report.m_address;
        record.m_data_centre = report.m_data_centre;
    }
    toggle_checksum(tracked);
    update_suspected(record);
    tracked.m_state_changed = now;
    ++m_revision;
    return true;
}

tracked_instance* instance_table::find(std::string const& name)
{
    auto const found = m_instances.find(name);
    return found == m_instances.end() ? nullptr : &found->second;
}

void instance_table::forget(state::time_point before)
{
    std::erase_if(m_instances,
                  [before](auto const& item)
                  {
                      auto const& tracked = item.second;
                      return !state::is_live(tracked.m_record.m_state) &&
                             tracked.m_state_changed < before;
                  });
}

} // namespace camphortide::coordination
