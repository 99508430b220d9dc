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

/// Pauses the writes to a group at all its homes during a switchover. A pause
/// ends after a time limit even if no home ends it. Used only on the control
/// thread.
class write_pause_control
{
public:
    write_pause_control(std::string self, home_registry const& homes,
                        peer_exchange& exchange);

    /// Requests the other homes of a group to pause or to resume writes.
    void announce(std::string const& group, bool paused);

    /// Handles another home's request to pause writes.
    void on_pause(std::string const& sender,
                  peer::v1::WritePause const& request);

    /// Handles another home's report on its writes in flight.
    void on_paused(std::string const& sender,
                   peer::v1::WritePaused const& status);

    /// Handles another home's request to resume writes.
    void on_resume(std::string const& sender,
                   peer::v1::WriteResume const& request);

    /// Reports to the homes that requested a pause whether the writes here have
    /// ended, and drops expired pauses.
    void tick(state::time_point now);

    /// @return true if every other home has reported that its writes have ended
    bool other_homes_drained(std::string const& group) const;

    /// @return true if another home's pause is in force
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
    /// by group, then by the home that requested the pause
    std::map<std::string, std::map<std::string, other_pause>, std::less<>>
        m_other_pauses;
};

} // namespace camphortide::transport
