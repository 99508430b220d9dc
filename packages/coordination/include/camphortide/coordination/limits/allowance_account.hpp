#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/coordination/limits/allowance.hpp>
#include <camphortide/coordination/limits/decayed_rate.hpp>

namespace camphortide::coordination
{

/// Whether an operation may begin.
enum class allowance_result
{
    granted,
    waiting, ///< until a request for tokens is answered
    refused  ///< the customer's allowance is used up
};

/// The decision about one operation.
struct allowance_decision
{
    allowance_result m_result = allowance_result::granted;
    state::duration m_retry_after{}; ///< if it is refused

    friend auto operator<=>(allowance_decision const&,
                            allowance_decision const&) = default;
};

/// Decides whether operations that an instance's callers begin are within the
/// allowances of their customers, and when to request tokens from the
/// customers' keepers. It answers the load of a customer that sends several
/// times its limit through all instances at once: while the keeper has no
/// tokens, its operations are refused without a message.
class allowance_account
{
public:
    /// @param self name of this instance
    explicit allowance_account(std::string self) : m_self(std::move(self)) {}

    /// Takes a token for an operation.
    allowance_decision take(std::string const& customer, state::time_point now);

    /// @param waiting operations that wait for a token
    /// @return the request that must be sent now; nothing if none is needed or
    ///     one is on its way
    std::optional<allowance_request> request(std::string const& customer,
                                             std::size_t waiting,
                                             state::time_point now);

    /// Records that the customer's keeper didn't answer.
    /// @param request that was sent to it
    /// @return the request for a backup
    allowance_request keeper_unanswered(allowance_request request,
                                        state::time_point now);

    /// Processes an answer.
    /// @param sent when the request was sent
    /// @param by_keeper the customer's keeper answered, not a backup
    void answered(std::string const& customer, allowance_grant const& grant,
                  state::time_point sent, bool by_keeper,
                  state::time_point now);

    /// Records that neither the keeper nor a backup answered.
    /// @param request the last one that was sent
    void unanswered(allowance_request const& request, state::time_point now);

    /// @return customers for which a request may be due although no operation
    ///     waits
    std::vector<std::string> active_customers() const;

    /// Drops customers that were idle for a while.
    void sweep(state::time_point now);

private:
    struct entry
    {
        std::uint32_t m_tokens = 0;
        state::time_point m_tokens_until;
        state::time_point m_empty_until;
        state::duration m_retry_after{};
        bool m_requested = false; ///< a request is on its way
        std::uint32_t m_wanted = 0;
        bool m_reports = false;
        state::time_point m_requested_at;
        state::time_point m_used_at;
        decayed_rate m_admitted{allowance_rate_time};
        /// Rate in the last request that the keeper answered, and when.
        double m_agreed_rate = 0;
        state::time_point m_agreed_at;
        double m_sent_rate = 0; ///< in the request that is on its way
        /// The keeper didn't answer the last request.
        bool m_out_of_touch = false;
        bool m_alone = false; ///< no backup did, either
        double m_credit = 0;  ///< operations that may be admitted alone
        state::time_point m_credit_at;
    };

    entry& find(std::string const& customer, state::time_point now);
    static allowance_decision take_alone(entry& value, state::time_point now);
    static void accrue_credit(entry& value, state::time_point now);
    static double decaying_rate(entry const& value, state::time_point now);
    static std::uint32_t tokens_ahead(entry const& value,
                                      state::time_point now);

    std::string m_self;
    std::map<std::string, entry, std::less<>> m_entries; ///< by customer
};

} // namespace camphortide::coordination
