#include <algorithm>

#include <camphortide/coordination/fleet/membership.hpp>

namespace camphortide::coordination
{

using state::instance_record;
using state::time_point;

namespace
{

/// Instances that a newcomer asks in one interval.
constexpr std::size_t seeds_asked = 2;

/// A report that only matters with the state needs no address.
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

heartbeat membership::make(heartbeat_kind kind)
{
    heartbeat message;
    message.m_kind = kind;
    message.m_sender = m_self;
    message.m_sequence = ++m_sequence;
    message.m_checksum = checksum();
    message.m_held = m_held;
    for (auto const& name : m_news.take(m_settings.m_news))
    {
        add_record(message, name);
    }
    return message;
}

void membership::add_record(heartbeat& message, std::string const& name) const
{
    auto const place = m_table.all().find(name);
    if (place != m_table.all().end())
    {
        message.m_records.push_back(shortened(place->second.m_record));
    }
}

void membership::add_slice(heartbeat& message)
{
    auto const& all = m_table.all();
    auto place = all.upper_bound(m_slice_after);
    std::size_t const count = std::min(m_settings.m_slice, all.size());
    for (std::size_t added = 0; added < count; ++added)
    {
        if (place == all.end())
        {
            place = all.begin();
        }
        message.m_records.push_back(shortened(place->second.m_record));
        m_slice_after = place->first;
        ++place;
    }
}

void membership::add_everyone(heartbeat& message) const
{
    message.m_records.clear();
    for (auto const& [name, known] : m_table.all())
    {
        message.m_records.push_back(shortened(known.m_record));
    }
}

void membership::start_interval(actions& out)
{
    m_welcomes_left = m_settings.m_welcomes;
    m_asks_left = m_settings.m_asks;
    m_slices_left = 1;
    if (!m_joined)
    {
        join(out);
    }
    for (auto const& name : m_observed)
    {
        auto const& record = m_table.all().at(name).m_record;
        auto message = make(heartbeat_kind::probe);
        if (record.m_state == state::instance_state::suspected)
        {
            add_record(message, name);
        }
        out.push_back({name, record.m_address, std::move(message)});
    }
    probe_others(out);
}

void membership::join(actions& out)
{
    std::vector<std::pair<std::string, std::string>> targets = m_candidates;
    for (auto const& address : m_seeds)
    {
        targets.emplace_back(std::string(), address);
    }
    for (std::size_t count = 0; count < seeds_asked && !targets.empty();
         ++count)
    {
        auto const place =
            static_cast<std::size_t>(m_random.below(targets.size()));
        out.push_back({targets[place].first, targets[place].second,
                       make(heartbeat_kind::join)});
        targets[place] = targets.back();
        targets.pop_back();
    }
}

void membership::probe_others(actions& out)
{
    for (auto const& peer : random_peers(1))
    {
        auto message = make(heartbeat_kind::probe);
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
    for (auto const& [name, known] : m_table.all())
    {
        if (known.m_record.m_state == state::instance_state::gone &&
            !known.m_record.m_address.empty())
        {
            others.emplace_back(name, known.m_record.m_address);
        }
    }
    if (!others.empty())
    {
        auto const place =
            static_cast<std::size_t>(m_random.below(others.size()));
        out.push_back({others[place].first, others[place].second,
                       make(heartbeat_kind::probe)});
    }
}

std::vector<heartbeat_to> membership::ask_versions()
{
    actions out;
    auto const& all = m_table.all();
    auto place = all.upper_bound(m_asked_last);
    for (std::size_t seen = 0; seen < all.size() && m_asks_left > 0; ++seen)
    {
        if (place == all.end())
        {
            place = all.begin();
        }
        auto const& [name, known] = *place++;
        bool const behind = known.m_catalogue < m_held.m_catalogue;
        if (!behind || !state::is_live(known.m_record.m_state))
        {
            continue;
        }
        out.push_back(
            {name, known.m_record.m_address, make(heartbeat_kind::probe)});
        m_asked_last = name;
        --m_asks_left;
    }
    return out;
}

void membership::push(actions& out, time_point now)
{
    if (!m_urgent || now < m_next_push)
    {
        return;
    }
    m_urgent = false;
    m_next_push = now + m_settings.m_push_interval;
    auto message = make(heartbeat_kind::news);
    for (auto const& peer : random_peers(m_settings.m_push_peers))
    {
        out.push_back({peer.m_name, peer.m_address, message});
    }
}

void membership::answer(heartbeat const& message, actions& out)
{
    bool const is_probe = message.m_kind == heartbeat_kind::probe;
    bool const is_join = message.m_kind == heartbeat_kind::join;
    if (!is_probe && !is_join)
    {
        return;
    }
    bool const welcomes = is_join && m_welcomes_left > 0;
    auto reply =
        make(welcomes ? heartbeat_kind::welcome : heartbeat_kind::answer);
    reply.m_sequence = message.m_sequence;
    if (welcomes)
    {
        --m_welcomes_left;
        add_everyone(reply);
    }
    else if (message.m_checksum != reply.m_checksum && m_slices_left > 0)
    {
        --m_slices_left;
        add_slice(reply);
    }
    // A sender that is held to be gone has to learn it, to object.
    auto const* known = m_table.find(message.m_sender.m_name);
    if (known != nullptr &&
        checksum_share(known->m_record) != checksum_share(message.m_sender))
    {
        add_record(reply, message.m_sender.m_name);
    }
    out.push_back({message.m_sender.m_name, message.m_sender.m_address,
                   std::move(reply)});
}

} // namespace camphortide::coordination
