#pragma once

#include <map>
#include <string>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// Names that failed recently and are skipped until their cooldown ends.
class cooldown_set
{
public:
    void add(std::string const& name, state::time_point until)
    {
        m_until[name] = until;
    }
    void remove(std::string const& name) { m_until.erase(name); }

    bool contains(std::string const& name, state::time_point now) const
    {
        auto const found = m_until.find(name);
        return found != m_until.end() && now < found->second;
    }

private:
    std::map<std::string, state::time_point> m_until;
};

} // namespace camphortide::coordination
