#pragma once

#include <optional>

#include <camphortide/state/clock.hpp>

namespace camphortide::coordination
{

/// A token bucket. Its capacity is what the rate refills in one second, but at
/// least one token. It starts with one token. At a rate of zero it keeps up to
/// one token, which can be taken once the rate is above zero.
class rate_bucket
{
public:
    /// Changes the rate and keeps the current tokens.
    /// @param per_second tokens per second; nothing: no limit
    void set_rate(std::optional<double> per_second, state::time_point now);

    /// Consumes a token.
    /// @return true if one was available
    bool take_token(state::time_point now);

    /// @return time until a token is available; at most an hour
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
