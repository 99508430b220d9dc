#pragma once

#include <functional>
#include <string>
#include <vector>

#include <camphortide/coordination/fleet/cooldown_set.hpp>
#include <camphortide/coordination/fleet/group_homes.hpp>

namespace camphortide::coordination
{

/// What an instance knows about its link to a home.
enum class home_state
{
    connected,  ///< the link is open, and the home responds
    available,  ///< not connected yet; a link may be opened
    recovering, ///< failed recently; a link may be opened, but must be shown to
                ///< work before it is used
    avoided     ///< leaving, or failed a moment ago
};

/// The home for a statement.
struct home_choice
{
    /// Where to send the statement; null: no home is expected to respond.
    home_address const* m_home = nullptr;
    /// Another home that a link should be opened to in the meantime; null:
    /// none.
    home_address const* m_connect = nullptr;
};

/// Selects a home of one group for each statement. A statement waits for a new
/// link only if no home is connected, so that a home that doesn't respond
/// delays no statement while another one does.
class home_selector
{
public:
    using state_function = std::function<home_state(home_address const&)>;

    void set_homes(std::vector<home_address> homes)
    {
        m_homes = std::move(homes);
    }

    std::vector<home_address> const& homes() const { return m_homes; }

    /// @param attempted homes that were attempted and did not run the statement
    /// @param state_of returns the state of a home
    /// @param now the current time
    home_choice choose(std::vector<std::string> const& attempted,
                       state_function const& state_of,
                       state::time_point now) const;

    /// Records that an instance isn't a home of the group yet, or any more.
    /// @param instance its name
    void refused(std::string const& instance, state::time_point now);

private:
    std::vector<home_address> m_homes; ///< by preference
    cooldown_set m_refused;
};

} // namespace camphortide::coordination
