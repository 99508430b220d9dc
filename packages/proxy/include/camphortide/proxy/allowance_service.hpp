#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <camphortide/coordination/limits/allowance_account.hpp>
#include <camphortide/coordination/limits/allowance_keeper.hpp>
#include <camphortide/coordination/limits/keeper_order.hpp>
#include <camphortide/proxy/fleet_view.hpp>
#include <camphortide/proxy/home_router.hpp>

namespace camphortide::proxy
{

/// Counts of a customer's operations at this instance.
struct allowance_counts
{
    std::string m_customer;
    std::uint64_t m_granted = 0;
    std::uint64_t m_refused = 0;
};

/// Requests tokens for the operations of this instance's callers from the
/// keepers of their customers, and answers other instances as a keeper. Not
/// thread safe: used on the traffic thread only.
class allowance_service
{
public:
    using handler = std::function<void(coordination::allowance_decision)>;

    allowance_service(boost::asio::io_context& context, home_router& router);
    ~allowance_service();
    allowance_service(allowance_service const&) = delete;
    allowance_service& operator=(allowance_service const&) = delete;

    /// Updates the limits and the registered instances.
    void apply(fleet_view const& view);

    /// @return true if the customer's operations are limited
    bool limits(std::string const& customer) const;

    /// Asks whether an operation of a limited customer may begin.
    /// @param done called once with granted or refused, at once if that is
    ///     known
    void acquire(std::string const& customer, handler done);

    /// Answers another instance's request.
    v1::Message answer(v1::AllowanceRequest const& message);

    /// Processes another instance's announcement that it is the keeper.
    void note_announcement(v1::AllowanceAnnouncement const& message);

    /// Sends requests that are due, and drops what is no longer needed.
    void sweep(state::time_point now);

    /// @return time since the keeper of a customer or a backup last answered
    state::duration answer_age(std::string const& customer,
                               state::time_point now) const;

    /// @return the counts of the customers with the most operations, and of all
    ///     others together under an empty name
    std::vector<allowance_counts> counts() const;

private:
    struct reply
    {
        coordination::allowance_grant m_grant;
        bool m_by_keeper = false;
    };

    static reply decode(v1::AllowanceReply const& message);
    state::operation_limit const* limit_of(std::string const& customer) const;
    bool is_keeper(std::string const& customer, state::time_point now);
    reply handle(std::string const& requester,
                 coordination::allowance_request const& request,
                 state::time_point now);
    void announce_if_due(std::string const& customer, state::time_point now);
    void send_due_request(std::string const& customer, state::time_point now);
    void send(coordination::allowance_request const& request,
              std::size_t position);
    void send_to(coordination::home_address const& home,
                 coordination::allowance_request const& request,
                 std::size_t position);
    void try_next(coordination::allowance_request const& request,
                  std::size_t position);
    void answered(coordination::allowance_request const& request,
                  reply const& value, state::time_point sent);
    void decide_waiting(std::string const& customer);
    void finish(std::string const& customer,
                coordination::allowance_decision const& decision,
                handler const& done);

    boost::asio::io_context& m_context;
    home_router& m_router;
    std::string m_self;
    std::shared_ptr<state::configuration const> m_configuration;
    state::time_point m_records_verified_at;
    coordination::keeper_order m_order;
    std::unique_ptr<coordination::allowance_account> m_account;
    std::unique_ptr<coordination::allowance_keeper> m_keeper;
    std::map<std::string, std::vector<handler>> m_waiting;  ///< by customer
    std::map<std::string, state::time_point> m_answered_at; ///< by customer
    std::map<std::string, allowance_counts> m_counts;       ///< by customer
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace camphortide::proxy
