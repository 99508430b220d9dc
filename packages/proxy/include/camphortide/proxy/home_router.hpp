#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <camphortide/coordination/fleet/group_selector.hpp>
#include <camphortide/coordination/fleet/home_reachability.hpp>
#include <camphortide/proxy/fleet_view.hpp>
#include <camphortide/proxy/home_link.hpp>
#include <camphortide/proxy/traffic_observer.hpp>

namespace camphortide::proxy
{

/// Forwards statements to the homes of groups that this instance isn't a home
/// of. Not thread safe: used on the traffic thread only.
class home_router
{
public:
    using request_pointer = std::shared_ptr<statement_request>;

    /// Runs a statement at a member, as a stand-in for the homes.
    using run_handler = std::function<void(request_pointer const&)>;

    home_router(boost::asio::io_context& context, traffic_observer& observer,
                run_handler run_here);
    ~home_router();
    home_router(home_router const&) = delete;
    home_router& operator=(home_router const&) = delete;

    /// Updates the homes of each group.
    void apply(fleet_view const& view);

    /// @return true if statements of a group are forwarded to other instances
    bool forwards(std::string const& group) const;

    /// @return true if this instance stands in for homes of a group that can't
    ///     be reached
    bool stands_in(std::string const& group) const;

    /// Forwards a statement to a home; one of an open transaction goes to the
    /// home that holds the transaction.
    void submit(request_pointer const& request);

    /// Rolls back a transaction that its caller abandoned.
    static void roll_back(bound_connection const& bound);

    /// @return the link for a message that isn't a statement; null if the
    ///     instance isn't expected to respond
    std::shared_ptr<home_link>
    link_for_messages(coordination::home_address const& instance,
                      state::time_point now);

    /// Periodic maintenance: checks the links and removes those that ended.
    void sweep(state::time_point now);

private:
    void send_to_home(request_pointer const& request);
    coordination::group_choice choose(statement_request const& request,
                                      state::time_point now);
    /// @return true if no instance that serves the group responds
    bool cut_off(std::string const& group) const;
    coordination::home_state state_of(coordination::home_address const& home,
                                      state::time_point now);
    coordination::home_state not_connected_state(std::string const& home,
                                                 state::time_point now) const;
    void retry_later(request_pointer const& request);
    void check_links();
    void handle_result(request_pointer const& request, std::string const& home,
                       forwarding_result outcome, statement_result result);
    void handle_lost(request_pointer const& request, std::string const& home);
    void fail(request_pointer const& request, state::statement_failure failure);
    std::shared_ptr<home_link> link_to(coordination::home_address const& home);

    boost::asio::io_context& m_context;
    traffic_observer& m_observer;
    run_handler m_run_here;
    std::shared_ptr<home_map const> m_homes; ///< of the last view
    /// By group.
    std::map<std::string, coordination::group_selector, std::less<>>
        m_selectors;
    std::map<std::string, std::shared_ptr<home_link>> m_links; ///< by home name
    coordination::home_reachability m_reachability;
    boost::asio::steady_timer m_check_timer;
    bool m_checking = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace camphortide::proxy
