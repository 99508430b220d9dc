#include <algorithm>
#include <utility>

#include <camphortide/transport/instance/write_pause_control.hpp>

namespace camphortide::transport
{

namespace
{

/// Time after which a home resumes writes without a request to do so.
constexpr state::duration max_pause_time{3000};

} // namespace

write_pause_control::write_pause_control(std::string self,
                                         home_registry const& homes,
                                         peer_exchange& exchange)
    : m_self(std::move(self)),
      m_homes(homes),
      m_exchange(exchange)
{
}

void write_pause_control::announce(std::string const& group, bool paused)
{
    auto& pause = m_own_pauses[group];
    pause.m_number += paused ? 1 : 0;
    pause.m_undrained_homes.clear();
    for (auto const& home : m_homes.homes_of(group))
    {
        if (home == m_self)
        {
            continue;
        }
        peer::v1::Envelope envelope;
        if (paused)
        {
            pause.m_undrained_homes.insert(home);
            auto& request = *envelope.mutable_write_pause();
            request.set_group(group);
            request.set_number(pause.m_number);
            request.set_most_ms(
                static_cast<std::uint32_t>(max_pause_time.count()));
        }
        else
        {
            auto& request = *envelope.mutable_write_resume();
            request.set_group(group);
            request.set_number(pause.m_number);
        }
        m_exchange.send(home, std::move(envelope));
    }
}

void write_pause_control::on_pause(std::string const& sender,
                                   peer::v1::WritePause const& request)
{
    m_other_pauses[request.group()][sender] = {
        request.number(),
        state::clock::now() + state::duration(request.most_ms())};
}

void write_pause_control::on_paused(std::string const& sender,
                                    peer::v1::WritePaused const& status)
{
    auto const found = m_own_pauses.find(status.group());
    if (found != m_own_pauses.end() &&
        found->second.m_number == status.number() && status.in_flight() == 0)
    {
        found->second.m_undrained_homes.erase(sender);
    }
}

void write_pause_control::on_resume(std::string const& sender,
                                    peer::v1::WriteResume const& request)
{
    auto const group = m_other_pauses.find(request.group());
    if (group == m_other_pauses.end())
    {
        return;
    }
    auto const found = group->second.find(sender);
    if (found != group->second.end() &&
        found->second.m_number <= request.number())
    {
        group->second.erase(found);
    }
}

void write_pause_control::tick(state::time_point now)
{
    for (auto& [group, pauses] : m_other_pauses)
    {
        std::erase_if(pauses, [now](auto const& item)
                      { return item.second.m_until <= now; });
        for (auto const& [home, pause] : pauses)
        {
            send_status(group, home, pause.m_number);
        }
    }
}

void write_pause_control::send_status(std::string const& group,
                                      std::string const& home,
                                      std::uint64_t number)
{
    auto const gateway = m_homes.find(group);
    peer::v1::Envelope envelope;
    auto& status = *envelope.mutable_write_paused();
    status.set_group(group);
    status.set_number(number);
    status.set_in_flight(gateway && !gateway->writes_drained() ? 1 : 0);
    m_exchange.send(home, std::move(envelope));
}

bool write_pause_control::other_homes_drained(std::string const& group) const
{
    auto const found = m_own_pauses.find(group);
    return found != m_own_pauses.end() &&
           found->second.m_undrained_homes.empty();
}

bool write_pause_control::paused_by_other_home(std::string const& group,
                                               state::time_point now) const
{
    auto const found = m_other_pauses.find(group);
    return found != m_other_pauses.end() &&
           std::ranges::any_of(found->second, [now](auto const& item)
                               { return item.second.m_until > now; });
}

} // namespace camphortide::transport
