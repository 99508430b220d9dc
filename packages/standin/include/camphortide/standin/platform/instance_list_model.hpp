#pragma once

#include <compare>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <camphortide/state/clock.hpp>

namespace camphortide::standin
{

/// An instance in the platform's list.
struct listed_instance
{
    std::string m_name;
    std::string m_data_centre;
    std::string m_address; ///< HOST:PORT of the peer socket
    bool m_leaving = false;

    friend auto operator<=>(listed_instance const&,
                            listed_instance const&) = default;
};

/// Models the platform's list of instances, which shows each change after a
/// lag. Uses no clock, thread or network.
class instance_list_model
{
public:
    /// @param lag time from a change until the list shows it
    void set_lag(state::duration lag) { m_lag = lag; }

    /// Adds or replaces an instance.
    void set(listed_instance instance, state::time_point now);

    /// Removes an instance.
    void remove(std::string const& name, state::time_point now);

    /// @return the instances that the list shows at a time, sorted by name
    std::vector<listed_instance> list(state::time_point now);

private:
    struct change
    {
        state::time_point m_changed_at;
        listed_instance m_instance;
        bool m_removed = false;
    };

    state::duration m_lag{};
    std::deque<change> m_changes; ///< not shown yet, oldest first
    std::map<std::string, listed_instance> m_listed;
};

} // namespace camphortide::standin
