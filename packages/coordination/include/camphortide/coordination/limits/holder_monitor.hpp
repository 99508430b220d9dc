#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <camphortide/coordination/limits/share_ledger.hpp>
#include <camphortide/state/clock.hpp>
#include <camphortide/state/instance_record.hpp>

namespace camphortide::coordination
{

/// Detects holders of shares that are permanently gone, from the view of the
/// instances. A holder's incarnation is the one with which its process started;
/// the view may show a slightly higher one, since a live process raises it to
/// refute a suspicion.
class holder_monitor
{
public:
    /// @param self this process, with the lowest incarnation that it uses
    /// @param max_leave_time time after which a leaving instance has ended
    holder_monitor(holder_id self, state::duration max_leave_time);

    /// Updates the view of the instances.
    void set_view(std::vector<state::instance_record> const& view,
                  state::time_point now);

    /// Sets whether the view is complete. While instances may be missing from
    /// it, an instance that it lacks is not considered gone.
    void set_complete(bool complete);

    /// Returns the holders that are gone. Must be called every few hundred ms:
    /// the absence of a holder from the view is timed from the first call that
    /// finds it missing.
    std::vector<holder_id> gone(share_ledger const& ledger,
                                state::time_point now);

private:
    struct observed_record
    {
        std::uint64_t m_incarnation = 0;
        state::instance_state m_state = state::instance_state::live;
        state::time_point m_since; ///< when it entered this state
    };

    bool is_gone(holder_id const& holder, share_ledger const& ledger,
                 state::time_point now);
    bool is_absent(std::string const& instance, state::time_point now);

    holder_id const m_self;
    state::duration const m_max_leave_time;
    std::map<std::string, observed_record, std::less<>> m_observed;
    bool m_complete = false;
    /// Holders missing from the view, and since when.
    std::map<std::string, state::time_point, std::less<>> m_absent_since;
};

} // namespace camphortide::coordination
