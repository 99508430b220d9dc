#pragma once

#include <map>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// How a link to a home failed.
enum class link_failure
{
    ended, ///< closed or refused by the other host: its process may restart
    silent ///< no answer: the host is down or can't be reached
};

/// Instances that this one recently failed to reach. The time until a new link
/// may be opened doubles with each failure in a row, so that a fleet of which a
/// large part is unreachable doesn't spend its time on connection attempts.
class home_reachability
{
public:
    /// Records that a link failed or could not be opened.
    /// @param instance the name of the instance
    void failed(std::string const& instance, link_failure failure,
                state::time_point now);

    /// Records that the instance responds.
    void responded(std::string const& instance) { m_failures.erase(instance); }

    /// @return true if no new link to the instance should be opened yet
    bool avoids(std::string const& instance, state::time_point now) const;

    /// @return true if the instance hasn't responded since a failure
    bool has_failed(std::string const& instance) const
    {
        return m_failures.contains(instance);
    }

    /// @return true if the instance was silent when it was last attempted
    bool is_silent(std::string const& instance) const
    {
        auto const found = m_failures.find(instance);
        return found != m_failures.end() &&
               found->second.m_last == link_failure::silent;
    }

private:
    struct failures
    {
        link_failure m_last = link_failure::ended;
        state::duration m_backoff{};
        state::time_point m_until;
    };

    std::map<std::string, failures> m_failures; ///< by instance
};

} // namespace camphortide::coordination
