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

/// Decides which holders of shares are gone for good, by the view of the
/// instances. A holder's incarnation is that of its process; the one in the
/// view may be a little higher, by the process's objections.
class holder_monitor
{
public:
    /// @param self this process; its incarnation is the lowest that it uses
    /// @param max_leave_time after which an instance that leaves has ended
    holder_monitor(holder_id self, state::duration max_leave_time);

    /// Takes a view of the instances.
    void set_view(std::vector<state::instance_record> const& view,
                  state::time_point now);

    /// Takes in whether the view is complete. While instances may be missing
    /// from it, one that it lacks isn't held to be gone.
    void set_complete(bool complete);

    /// Finds the holders that are gone. Called every few hundred ms: those that
    /// the view lacks are timed from the first call.
    std::vector<holder_id> gone(share_ledger const& ledger,
                                state::time_point now);

private:
    struct observed_record
    {
        std::uint64_t m_incarnation = 0;
        state::instance_state m_state = state::instance_state::live;
        state::time_point m_since; ///< in this state
    };

    bool is_gone(holder_id const& holder, share_ledger const& ledger,
                 state::time_point now);
    bool is_absent(std::string const& instance, state::time_point now);

    holder_id const m_self;
    state::duration const m_max_leave_time;
    std::map<std::string, observed_record, std::less<>> m_observed;
    bool m_complete = false;
    /// holders that the view lacks, and since when
    std::map<std::string, state::time_point, std::less<>> m_absent_since;
};

} // namespace camphortide::coordination
