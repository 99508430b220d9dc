#include <algorithm>
#include <utility>

#include <camphortide/transport/instance/write_pause_control.hpp>

namespace camphortide::transport
{

namespace
{

/// After which a home goes on although nobody told it to.
constexpr state::duration longest_pause{3000};

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
    auto& pause = m_own[group];
    pause.m_number += paused ? 1 : 0;
    pause.m_awaited.clear();
    for (auto const& home : m_homes.homes_of(group))
    {
        if (home == m_self)
        {
            continue;
        }
        peer::v1::Envelope envelope;
        if (paused)
        {
            pause.m_awaited.insert(home);
            auto& wish = *envelope.mutable_write_pause();
            wish.set_group(group);
            wish.set_number(pause.m_number);
            wish.set_most_ms(static_cast<std::uint32_t>(longest_pause.count()));
        }
        else
        {
            auto& wish = *envelope.mutable_write_resume();
            wish.set_group(group);
            wish.set_number(pause.m_number);
        }
        m_exchange.send(home, std::move(envelope));
    }
}

void write_pause_control::on_pause(std::string const& sender,
                                   peer::v1::WritePause const& wish)
{
    m_others[wish.group()][sender] = {
        wish.number(), state::clock::now() + state::duration(wish.most_ms())};
}

void write_pause_control::on_paused(std::string const& sender,
                                    peer::v1::WritePaused const& word)
{
    auto const found = m_own.find(word.group());
    if (found != m_own.end() && found->second.m_number == word.number() &&
        word.in_flight() == 0)
    {
        found->second.m_awaited.erase(sender);
    }
}

void write_pause_control::on_resume(std::string const& sender,
                                    peer::v1::WriteResume const& wish)
{
    auto const group = m_others.find(wish.group());
    if (group == m_others.end())
    {
        return;
    }
    auto const found = group->second.find(sender);
    if (found != group->second.end() && found->second.m_number <= wish.number())
    {
        group->second.erase(found);
    }
}

void write_pause_control::tick(state::time_point now)
{
    for (auto& [group, pauses] : m_others)
    {
        std::erase_if(pauses, [now](auto const& item)
                      { return item.second.m_until <= now; });
        for (auto const& [home, pause] : pauses)
        {
            tell(group, home, pause.m_number);
        }
    }
}

void write_pause_control::tell(std::string const& group,
                               std::string const& home, std::uint64_t number)
{
    auto const gateway = m_homes.find(group);
    peer::v1::Envelope envelope;
    auto& word = *envelope.mutable_write_paused();
    word.set_group(group);
    word.set_number(number);
    word.set_in_flight(gateway && !gateway->writes_drained() ? 1 : 0);
    m_exchange.send(home, std::move(envelope));
}

bool write_pause_control::others_drained(std::string const& group) const
{
    auto const found = m_own.find(group);
    return found != m_own.end() && found->second.m_awaited.empty();
}

bool write_pause_control::pauses(std::string const& group,
                                 state::time_point now) const
{
    auto const found = m_others.find(group);
    return found != m_others.end() &&
           std::ranges::any_of(found->second, [now](auto const& item)
                               { return item.second.m_until > now; });
}

} // namespace camphortide::transport
