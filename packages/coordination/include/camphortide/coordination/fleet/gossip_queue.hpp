#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphortide::coordination
{

/// Names of instances whose records are to be gossiped. Each name is sent a
/// limited number of times. Names with the most sends left go first, and the
/// latest first among equals, so that a backlog does not delay a new record.
class gossip_queue
{
public:
    /// Adds a name, or resets its count.
    /// @param name the instance's name
    /// @param times how often it is to be sent
    void add(std::string const& name, std::size_t times);

    /// Takes the next names and counts them as sent.
    /// @param count the maximum number of names
    /// @return distinct names
    std::vector<std::string> take(std::size_t count);

    /// @return the number of queued names
    std::size_t size() const { return m_left.size(); }

private:
    using names_by_left =
        std::map<std::size_t, std::deque<std::string>, std::greater<>>;

    names_by_left m_waiting; ///< by the number of sends left
    std::map<std::string, std::size_t> m_left;
};

/// Number of times a record is gossiped so that it reaches every instance.
/// @param instances the number of instances
/// @return the number of times, proportional to the logarithm of `instances`
/// @see A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
///     Infection-style Process Group Membership Protocol", section 4.1
std::size_t gossip_repeats(std::size_t instances);

} // namespace camphortide::coordination
