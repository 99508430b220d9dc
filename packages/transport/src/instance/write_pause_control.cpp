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
    auto const homes = m_homes.homes_of(group);
    if (!paused)
    {
        auto const found = m_own.find(group);
        auto const number = found == m_own.end() ? 0 : found->second.m_number;
        m_own.erase(group);
        for (auto const& home : homes)
        {
            peer::v1::Envelope envelope;
            auto& wish = *envelope.mutable_write_resume();
            wish.set_group(group);
            wish.set_number(number);
            m_exchange.send(home, std::move(envelope));
        }
        return;
    }
    own_pause pause;
    pause.m_number = ++m_last_number;
    for (auto const& home : homes)
    {
        if (home == m_self)
        {
            continue;
        }
        pause.m_awaited.insert(home);
        peer::v1::Envelope envelope;
        auto& wish = *envelope.mutable_write_pause();
        wish.set_group(group);
        wish.set_number(pause.m_number);
        wish.set_most_ms(static_cast<std::uint32_t>(longest_pause.count()));
        m_exchange.send(home, std::move(envelope));
    }
    m_own[group] = std::move(pause);
}

void write_pause_control::on_pause(std::string const& sender,
                                   peer::v1::WritePause const& wish)
{
    m_others[wish.group()] = {sender, wish.number(),
                              state::clock::now() +
                                  state::duration(wish.most_ms())};
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

void write_pause_control::on_resume(peer::v1::WriteResume const& wish)
{
    auto const found = m_others.find(wish.group());
    if (found != m_others.end() && found->second.m_number <= wish.number())
    {
        m_others.erase(found);
    }
}

void write_pause_control::tick(state::time_point now)
{
    std::erase_if(m_others, [now](auto const& item)
                  { return item.second.m_until <= now; });
    for (auto const& [group, pause] : m_others)
    {
        auto const gateway = m_homes.find(group);
        peer::v1::Envelope envelope;
        auto& word = *envelope.mutable_write_paused();
        word.set_group(group);
        word.set_number(pause.m_number);
        word.set_in_flight(gateway && !gateway->writes_drained() ? 1 : 0);
        m_exchange.send(pause.m_home, std::move(envelope));
    }
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
    return found != m_others.end() && found->second.m_until > now;
}

} // namespace camphortide::transport
