#pragma once

#include <map>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Names that failed of late and aren't used for a while.
class left_out
{
public:
    void add(std::string const& name, state::time_point until)
    {
        m_until[name] = until;
    }
    void remove(std::string const& name) { m_until.erase(name); }

    bool contains(std::string const& name, state::time_point now) const
    {
        auto const place = m_until.find(name);
        return place != m_until.end() && now < place->second;
    }

private:
    std::map<std::string, state::time_point> m_until;
};

} // namespace camphortide::coordination
