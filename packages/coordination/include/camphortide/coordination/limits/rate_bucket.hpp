#pragma once

#include <optional>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// A token bucket that refills at a rate and holds one second of it, and at
/// least one token. It starts with one token.
class rate_bucket
{
public:
    /// Changes the rate and keeps the tokens there are.
    /// @param per_second nothing: no limit
    void set_rate(std::optional<double> per_second, state::time_point now);

    /// Takes a token.
    /// @return true if there was one
    bool take_token(state::time_point now);

    /// @return how long until there is a token; at most an hour
    state::duration time_until_token(state::time_point now) const;

private:
    double capacity() const;
    double tokens_at(state::time_point now) const;

    std::optional<double> m_rate;
    double m_tokens = 0;
    state::time_point m_refilled_at;
    bool m_started = false;
};

} // namespace camphortide::coordination
