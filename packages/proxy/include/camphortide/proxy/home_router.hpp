#pragma once

#include <map>
#include <memory>
#include <string>

#include <camphortide/coordination/fleet/group_homes.hpp>
#include <camphortide/proxy/fleet_view.hpp>
#include <camphortide/proxy/home_link.hpp>
#include <camphortide/proxy/traffic_observer.hpp>

namespace camphortide::proxy
{

/// Passes statements to the homes of groups that this instance isn't a home
/// of. Belongs to the traffic thread.
class home_router
{
public:
    using request_pointer = std::shared_ptr<statement_request>;

    home_router(boost::asio::io_context& context, traffic_observer& observer);
    ~home_router();
    home_router(home_router const&) = delete;
    home_router& operator=(home_router const&) = delete;

    /// Takes in who the homes are now.
    void apply(fleet_view const& view);

    /// @return true if statements of a group go to other instances
    bool forwards(std::string const& group) const;

    /// Runs a statement at a home; one of a transaction, at its own.
    void submit(request_pointer const& request);

    /// Ends a transaction that its caller gave up.
    static void roll_back(bound_connection const& bound);

    /// Does what has to be done from time to time.
    void sweep(state::time_point now);

private:
    void send_to_home(request_pointer const& request);
    void retry_later(request_pointer const& request);
    void handle_result(request_pointer const& request, std::string const& home,
                       forwarding_result outcome, statement_result result);
    void handle_lost(request_pointer const& request, std::string const& home);
    void fail(request_pointer const& request, state::statement_failure failure);
    std::shared_ptr<home_link> link_to(coordination::home_address const& home);

    boost::asio::io_context& m_context;
    traffic_observer& m_observer;
    std::map<std::string, coordination::home_selector, std::less<>> m_selectors;
    std::map<std::string, std::shared_ptr<home_link>> m_links; ///< by home
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace camphortide::proxy
