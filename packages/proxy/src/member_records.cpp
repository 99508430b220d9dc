#include <camphortide/coordination/primary/registration_grace.hpp>
#include <camphortide/proxy/member_records.hpp>
#include <camphortide/transport/logging/log.hpp>

namespace camphortide::proxy
{

using platform::store_outcome;
using transport::log_part;

namespace
{

/// Minimum interval between two attempts to write a record.
constexpr state::duration min_write_interval{300};

} // namespace

member_records::member_records(store_client& store, fleet_control& fleet)
    : m_store(store),
      m_fleet(fleet)
{
}

void member_records::begin()
{
    for (auto& each : m_groups)
    {
        each.second.m_since = state::clock::now();
    }
}

bool member_records::are_known(std::string const& group,
                               state::time_point now) const
{
    auto const found = m_groups.find(group);
    return m_fleet.records().m_members.contains(group) ||
           (found != m_groups.end() &&
            now - found->second.m_since >= coordination::registration_grace);
}

void member_records::update(
    std::string const& group,
    std::vector<coordination::reported_member> const& registered,
    std::uint64_t token, state::time_point now)
{
    auto& known = m_groups.try_emplace(group, group_state{now, {}, false, {}})
                      .first->second;
    if (known.m_writing || now - known.m_last_write < min_write_interval ||
        !are_known(group, now))
    {
        return;
    }
    state::recorded_members record{group, token,
                                   m_fleet.lapsed_members().addresses(group)};
    for (auto const& member : registered)
    {
        record.m_addresses[member.m_entry.m_id] = member.m_entry.m_address;
    }
    auto const found = m_fleet.records().m_members.find(group);
    bool const recorded = found != m_fleet.records().m_members.end();
    bool const changed =
        !recorded || found->second.m_record.m_addresses != record.m_addresses;
    if (changed && !record.m_addresses.empty())
    {
        known.m_last_write = now;
        write(record,
              recorded ? found->second.m_revision : known.m_invalid_revision,
              known);
    }
}

void member_records::write(state::recorded_members const& record,
                           state::store_revision const& revision,
                           group_state& group)
{
    group.m_writing = true;
    m_store.send(
        platform::write_request(record, revision),
        [this, name = record.m_group, members = record.m_addresses.size()](
            store_outcome outcome,
            std::optional<platform::http_response> const& response)
        {
            auto& written = m_groups[name];
            written.m_writing = false;
            written.m_invalid_revision =
                outcome == store_outcome::conflict
                    ? platform::invalid_record_revision(*response)
                    : state::store_revision();
            transport::log_info(log_part::membership, "members recorded",
                                {{"group", name},
                                 {"members", members},
                                 {"outcome", platform::to_string(outcome)}});
        });
}

} // namespace camphortide::proxy
