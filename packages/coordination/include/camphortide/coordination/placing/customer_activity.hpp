#pragma once

#include <string>
#include <unordered_map>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// How often each customer used a member recently. Uses are weighted by their
/// age, so that a rate reflects both frequency and recency. Customers that
/// haven't used the member for a while are removed: the size is bounded by the
/// customers of the last minutes.
class customer_activity
{
public:
    /// Records one use.
    /// @param customer name; empty: none
    void record_use(std::string const& customer, state::time_point now);

    /// @return uses per second of a customer, weighted by age
    double rate(std::string const& customer, state::time_point now) const;

    /// @return uses per second of all other customers, weighted by age; exactly
    ///     zero if there are none
    double rate_of_others(std::string const& customer,
                          state::time_point now) const;

    /// @return number of customers that are remembered
    std::size_t size() const { return m_uses.size(); }

private:
    /// Number of uses, weighted by their age at a time.
    struct weighted_uses
    {
        double m_count = 0;
        state::time_point m_as_of;

        double at(state::time_point now) const;
        void add(state::time_point now);
    };

    void remove_inactive(state::time_point now);

    std::unordered_map<std::string, weighted_uses> m_uses;
    weighted_uses m_total;
    state::time_point m_last_removal;
};

} // namespace camphortide::coordination
