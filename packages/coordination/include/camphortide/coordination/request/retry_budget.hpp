#pragma once

#include <cstdint>

namespace camphortide::coordination
{

/// Limits of a retry budget.
struct retry_limits
{
    double m_share = 0.1; ///< retries per request
    double m_burst = 10;  ///< maximum of accumulated retries
};

/// Limits retries to a share of the requests, so that they cannot multiply the
/// load on failing endpoints.
class retry_budget
{
public:
    explicit retry_budget(retry_limits limits);

    /// Counts a request that is sent for the first time.
    void note_request();

    /// Charges one retry to the budget.
    /// @return false if the budget is exhausted; the request must not be
    ///     retried
    bool take();

    /// @return the retries that may be made now
    double available() const { return m_available; }

private:
    retry_limits m_limits;
    double m_available;
};

} // namespace camphortide::coordination
