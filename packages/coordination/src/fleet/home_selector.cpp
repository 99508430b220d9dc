#include <algorithm>

#include <camphortide/coordination/fleet/home_selector.hpp>

namespace camphortide::coordination
{

namespace
{

/// How long other homes are preferred to an instance that isn't a home by its
/// own view: about the time that the records need to arrive.
constexpr state::duration refusal_cooldown{1000};

} // namespace

home_choice home_selector::choose(std::vector<std::string> const& attempted,
                                  state_function const& state_of,
                                  state::time_point now) const
{
    home_address const* available = nullptr;
    home_address const* recovering = nullptr;
    home_address const* refused = nullptr;
    for (auto const& home : m_homes)
    {
        if (std::ranges::find(attempted, home.m_name) != attempted.end())
        {
            continue;
        }
        auto const state = state_of(home);
        if (state == home_state::avoided)
        {
            continue;
        }
        if (m_refused.contains(home.m_name, now))
        {
            refused = refused == nullptr ? &home : refused;
        }
        else if (state == home_state::connected)
        {
            return {&home, available == nullptr ? recovering : available};
        }
        else
        {
            auto& first =
                state == home_state::available ? available : recovering;
            first = first == nullptr ? &home : first;
        }
    }
    return {available == nullptr ? refused : available, recovering};
}

void home_selector::refused(std::string const& instance, state::time_point now)
{
    m_refused.add(instance, now + refusal_cooldown);
}

} // namespace camphortide::coordination
