#include <algorithm>

#include <camphortide/coordination/fleet/membership.hpp>

namespace camphortide::coordination
{

using state::instance_record;
using state::time_point;

namespace
{

/// Number of joins that a new instance sends in one interval.
constexpr std::size_t joins_per_interval = 2;

/// Omits the address and data centre of a record that isn't live: only its
/// state matters.
instance_record shortened(instance_record record)
{
    if (!state::is_live(record.m_state))
    {
        record.m_address.clear();
        record.m_data_centre.clear();
    }
    return record;
}

} // namespace

std::uint64_t membership::checksum() const
{
    return m_table.checksum() ^ checksum_share(m_self);
}

heartbeat membership::make_heartbeat(heartbeat_kind kind)
{
    heartbeat message;
    message.m_kind = kind;
    message.m_sender = m_self;
    message.m_sequence = ++m_sequence;
    message.m_checksum = checksum();
    message.m_held = m_held;
    for (auto const& name : m_gossip.take(m_settings.m_max_gossip_records))
    {
        add_record(message, name);
    }
    return message;
}

void membership::add_record(heartbeat& message, std::string const& name) const
{
    auto const found = m_table.all().find(name);
    if (found != m_table.all().end())
    {
        message.m_records.push_back(shortened(found->second.m_record));
    }
}

void membership::add_slice(heartbeat& message)
{
    auto const& all = m_table.all();
    auto next = all.upper_bound(m_last_slice_name);
    std::size_t const count =
        std::min(m_settings.m_max_slice_records, all.size());
    for (std::size_t added = 0; added < count; ++added)
    {
        if (next == all.end())
        {
            next = all.begin();
        }
        message.m_records.push_back(shortened(next->second.m_record));
        m_last_slice_name = next->first;
        ++next;
    }
}

void membership::add_all_records(heartbeat& message) const
{
    message.m_records.clear();
    for (auto const& [name, tracked] : m_table.all())
    {
        message.m_records.push_back(shortened(tracked.m_record));
    }
}

void membership::send_interval_heartbeats(actions& out)
{
    m_welcomes_left = m_settings.m_max_welcomes;
    m_version_probes_left = m_settings.m_max_version_probes;
    m_slices_left = 1;
    if (!m_joined)
    {
        send_joins(out);
    }
    for (auto const& name : m_observed)
    {
        auto const& record = m_table.all().at(name).m_record;
        auto message = make_heartbeat(heartbeat_kind::probe);
        if (record.m_state == state::instance_state::suspected)
        {
            add_record(message, name);
        }
        out.push_back({name, record.m_address, std::move(message)});
    }
    probe_unobserved(out);
}

void membership::send_joins(actions& out)
{
    std::vector<std::pair<std::string, std::string>> targets = m_candidates;
    for (auto const& address : m_seeds)
    {
        targets.emplace_back(std::string(), address);
    }
    for (std::size_t count = 0; count < joins_per_interval && !targets.empty();
         ++count)
    {
        auto const index =
            static_cast<std::size_t>(m_random.below(targets.size()));
        out.push_back({targets[index].first, targets[index].second,
                       make_heartbeat(heartbeat_kind::join)});
        targets[index] = targets.back();
        targets.pop_back();
    }
}

void membership::probe_unobserved(actions& out)
{
    for (auto const& peer : random_peers(1))
    {
        auto message = make_heartbeat(heartbeat_kind::probe);
        out.push_back({peer.m_name, peer.m_address, std::move(message)});
    }
    std::vector<std::pair<std::string, std::string>> others;
    for (auto const& candidate : m_candidates)
    {
        if (!m_table.all().contains(candidate.first))
        {
            others.push_back(candidate);
        }
    }
    for (auto const& [name, tracked] : m_table.all())
    {
        if (tracked.m_record.m_state == state::instance_state::gone &&
            !tracked.m_record.m_address.empty())
        {
            others.emplace_back(name, tracked.m_record.m_address);
        }
    }
    if (!others.empty())
    {
        auto const index =
            static_cast<std::size_t>(m_random.below(others.size()));
        out.push_back({others[index].first, others[index].second,
                       make_heartbeat(heartbeat_kind::probe)});
    }
}

std::vector<outgoing_heartbeat> membership::probe_versions()
{
    actions out;
    auto const& all = m_table.all();
    auto next = all.upper_bound(m_last_probed_name);
    for (std::size_t seen = 0; seen < all.size() && m_version_probes_left > 0;
         ++seen)
    {
        if (next == all.end())
        {
            next = all.begin();
        }
        auto const& [name, tracked] = *next++;
        bool const behind = tracked.m_catalogue < m_held.m_catalogue;
        if (!behind || !state::is_live(tracked.m_record.m_state))
        {
            continue;
        }
        out.push_back({name, tracked.m_record.m_address,
                       make_heartbeat(heartbeat_kind::probe)});
        m_last_probed_name = name;
        --m_version_probes_left;
    }
    return out;
}

void membership::send_gossip(actions& out, time_point now)
{
    if (!m_gossip_pending || now < m_next_gossip)
    {
        return;
    }
    m_gossip_pending = false;
    m_next_gossip = now + m_settings.m_gossip_interval;
    auto message = make_heartbeat(heartbeat_kind::gossip);
    for (auto const& peer : random_peers(m_settings.m_gossip_peers))
    {
        out.push_back({peer.m_name, peer.m_address, message});
    }
}

void membership::reply_to(heartbeat const& message, actions& out)
{
    bool const is_probe = message.m_kind == heartbeat_kind::probe;
    bool const is_join = message.m_kind == heartbeat_kind::join;
    if (!is_probe && !is_join)
    {
        return;
    }
    bool const welcomes = is_join && m_welcomes_left > 0;
    auto reply = make_heartbeat(welcomes ? heartbeat_kind::welcome
                                         : heartbeat_kind::answer);
    reply.m_sequence = message.m_sequence;
    if (welcomes)
    {
        --m_welcomes_left;
        add_all_records(reply);
    }
    else if (message.m_checksum != reply.m_checksum && m_slices_left > 0)
    {
        --m_slices_left;
        add_slice(reply);
    }
    // A sender that is gone in this instance's view must receive that record,
    // so that it can refute it.
    auto const* tracked = m_table.find(message.m_sender.m_name);
    if (tracked != nullptr &&
        checksum_share(tracked->m_record) != checksum_share(message.m_sender))
    {
        add_record(reply, message.m_sender.m_name);
    }
    out.push_back({message.m_sender.m_name, message.m_sender.m_address,
                   std::move(reply)});
}

} // namespace camphortide::coordination
