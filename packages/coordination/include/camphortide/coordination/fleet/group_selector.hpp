#pragma once

#include <string>
#include <vector>

#include <camphortide/coordination/fleet/group_homes.hpp>
#include <camphortide/coordination/fleet/home_selector.hpp>

namespace camphortide::coordination
{

/// The instance for a statement.
struct group_choice
{
    /// Where to send the statement; null: `m_run_here` tells.
    home_address const* m_instance = nullptr;
    /// An instance that a link should be opened to in the meantime; null: none.
    home_address const* m_connect = nullptr;
    /// No home is expected to respond: the instance is a stand-in.
    bool m_no_home = false;
    /// This instance is a stand-in and runs the statement itself. If it is
    /// false, too, nobody is expected to respond.
    bool m_run_here = false;
};

/// Selects the instance that runs the statements of one group: a home or, while
/// none is expected to respond, a stand-in. A cut between the callers' instance
/// and all homes thus loses the group for the time of detection only. All
/// instances try the stand-ins in the same order, so that few of them open
/// connections to the members. On the small side of a cut there may be no
/// stand-in: there, each instance runs its callers' statements itself.
class group_selector
{
public:
    /// Updates the homes and the stand-ins.
    void update(group_homes const& homes);

    /// @param attempted instances that were attempted and did not run the
    ///     statement
    /// @param state_of returns the state of an instance
    /// @param now the current time
    group_choice choose(std::vector<std::string> const& attempted,
                        home_selector::state_function const& state_of,
                        state::time_point now) const;

    /// Records that an instance is neither a home of the group nor a stand-in
    /// yet, or any more.
    /// @param instance its name
    void refused(std::string const& instance, state::time_point now);

    /// @param is_silent returns true if an instance didn't respond when it was
    ///     last attempted
    /// @return true if all homes and stand-ins are silent: this instance is cut
    ///     off from them. It does better to run a statement itself than to
    ///     refuse it.
    bool
    cut_off(std::function<bool(home_address const&)> const& is_silent) const;

    /// @return true if this instance is a stand-in
    bool stands_in() const { return m_stands_in; }

private:
    home_selector m_homes;
    home_selector m_stand_ins;
    bool m_stands_in = false;
};

} // namespace camphortide::coordination
