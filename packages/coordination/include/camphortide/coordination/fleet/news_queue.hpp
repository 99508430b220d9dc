#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace camphortide::coordination
{

/// Names of instances whose records are still to be passed on, the latest
/// first. Each name is handed out a limited number of times.
class news_queue
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
    std::size_t size() const { return m_items.size(); }

private:
    struct item
    {
        std::string m_name;
        std::size_t m_left = 0;
    };

    std::deque<item> m_items;
};

/// How often news is passed on so that it reaches every instance.
/// @param instances how many there are
/// @return the number of times, proportional to the logarithm
/// @see A. Das, I. Gupta, A. Motivala, "SWIM: Scalable Weakly-consistent
///     Infection-style Process Group Membership Protocol", section 4.1
std::size_t news_repeats(std::size_t instances);

} // namespace camphortide::coordination
