#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include <camphortide/peer/v1/peer.pb.h>
#include <camphortide/transport/instance/home_registry.hpp>
#include <camphortide/transport/instance/peer_exchange.hpp>

namespace camphortide::transport
{

/// Holds the writes to a group back at all its homes during a switchover.
/// Lives on the control thread. A pause ends by itself.
class write_pause_control
{
public:
    write_pause_control(std::string self, home_registry const& homes,
                        peer_exchange& exchange);

    /// Tells the other homes of a group to hold writes back, or to go on.
    void announce(std::string const& group, bool paused);

    /// Takes another home's wish.
    void on_pause(std::string const& sender,
                  peer::v1::WritePause const& request);

    /// Takes another home's word on its writes.
    void on_paused(std::string const& sender,
                   peer::v1::WritePaused const& status);

    /// Takes the end of another home's wish.
    void on_resume(std::string const& sender,
                   peer::v1::WriteResume const& request);

    /// Tells homes that wait whether the writes here have ended.
    void tick(state::time_point now);

    /// @return true if every other home said that its writes have ended
    bool other_homes_drained(std::string const& group) const;

    /// @return true if another home wants the writes held back
    bool paused_by_other_home(std::string const& group,
                              state::time_point now) const;

private:
    void send_status(std::string const& group, std::string const& home,
                     std::uint64_t number);

    struct own_pause
    {
        std::uint64_t m_number = 0;
        std::set<std::string> m_undrained_homes;
    };

    struct other_pause
    {
        std::uint64_t m_number = 0;
        state::time_point m_until;
    };

    std::string const m_self;
    home_registry const& m_homes;
    peer_exchange& m_exchange;
    std::map<std::string, own_pause, std::less<>> m_own_pauses;
    /// by group, then by the home that asked
    std::map<std::string, std::map<std::string, other_pause>, std::less<>>
        m_other_pauses;
};

} // namespace camphortide::transport
