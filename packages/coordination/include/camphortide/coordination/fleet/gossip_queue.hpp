#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphortide::coordination
{

/// Names of instances whose records are still to be passed on. Each name is
/// handed out a limited number of times, and those that were handed out least
/// go first, the latest before the others: so much old news does not delay a
/// new one.
class gossip_queue
{
public:
    /// Adds a name, or starts its count again.
    /// @param name the instance's name
    /// @param times how often it is handed out
    void add(std::string const& name, std::size_t times);

    /// Hands out names and counts them.
    /// @param count how many at most
    /// @return different names
    std::vector<std::string> take(std::size_t count);

    /// @return how many names wait
    std::size_t size() const { return m_left.size(); }

private:
    using names_by_left =
        std::map<std::size_t, std::deque<std::string>, std::greater<>>;

    names_by_left m_waiting; ///< by how often each is still handed out
    std::map<std::string, std::size_t> m_left;
};

/// How often news is passed on so that it reaches every instance.
/// @param instances how many there are
/// @return the number of times, proportional to the logarithm
/// @see A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
///     Infection-style Process Group Membership Protocol", section 4.1
std::size_t gossip_repeats(std::size_t instances);

} // namespace camphortide::coordination
