#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <camphortide/proxy/allowance_service.hpp>
#include <camphortide/proxy/caller_session.hpp>
#include <camphortide/proxy/fleet_view.hpp>
#include <camphortide/proxy/group_traffic.hpp>
#include <camphortide/proxy/home_router.hpp>
#include <camphortide/proxy/home_server.hpp>
#include <camphortide/proxy/traffic_observer.hpp>

namespace camphortide::proxy
{

/// Phases of a stop, as times since the signal.
struct stop_times
{
    /// Operations begin until then: the load balancer checks readiness every
    /// second and removes an instance after two failed checks.
    state::duration m_accept{2300};
    state::duration
        m_transactions{};    ///< open transactions may finish until then
    state::duration m_end{}; ///< the stop completes by then in any case
};

/// The callers of this instance and the groups that serve them. Not thread
/// safe: used on the traffic thread only.
class traffic final : public session_host, private home_server_host
{
public:
    traffic(boost::asio::io_context& context, traffic_observer& observer,
            unread_limits limits = {});
    ~traffic() override;

    /// Listens for callers.
    /// @param address host:port
    /// @return false if the address can't be used
    bool listen(std::string const& address);

    /// Listens for statements that other instances forward.
    /// @param address host:port
    /// @return false if the address can't be used
    bool listen_forwarded(std::string const& address)
    {
        return m_home_server.listen(address);
    }

    /// Updates all groups from the control thread's view.
    void apply(std::shared_ptr<fleet_view const> const& view);

    /// @see group_traffic::close_primary
    void close_primary(std::string const& group,
                       state::store_revision const& revision, bool orderly,
                       std::function<void()> closed);

    /// Ends all sessions gracefully: requests that can still be answered are
    /// answered.
    /// @param times phases of the stop
    /// @param stopped called when all sessions and forwarded statements have
    ///     ended, or at the end of the last phase
    void stop(stop_times times, std::function<void()> stopped);

    /// @return the gauges of all members
    std::vector<member_gauge> gauges() const;
    /// @return the read counts of each group
    std::map<std::string, read_counts> reads() const;
    std::size_t sessions() const { return m_sessions.size(); }
    /// @return number of instances linked to this one to forward statements
    std::size_t links() const { return m_home_server.links(); }

    std::shared_ptr<state::configuration const> configuration() const override;
    void submit(std::shared_ptr<statement_request> const& request) override;
    void roll_back(std::string const& group,
                   bound_connection const& bound) override;
    bool limits_operations(std::string const& customer) const override;
    void acquire_allowance(
        std::string const& customer,
        std::function<void(coordination::allowance_decision)> done) override;
    bool keys_up_to_date() const override;
    bool leaving() const override;
    state::time_point stops_at() const override;
    unread_limits limits_of_unread_answers() const override
    {
        return m_unread_limits;
    }

    /// Sets from when on operations that need a key are refused.
    /// @param time no limit if it is never reached
    void set_keys_valid_until(state::time_point time)
    {
        m_keys_valid_until = time;
    }

    /// @return the operations of limited customers
    std::vector<allowance_counts> allowances() const
    {
        return m_allowances.counts();
    }

    void refused_locally(std::string const& id, std::string const& database,
                         state::statement_failure const& failure) override;

private:
    bool serves(std::string const& group, bool no_home) const override;
    void
    run_locally(std::shared_ptr<statement_request> const& request) override;
    v1::Message answer_allowance(v1::AllowanceRequest const& message) override;
    void
    note_allowance_keeper(v1::AllowanceAnnouncement const& message) override;
    void accept();
    void sweep();
    void close_unread_sessions(state::time_point now);
    void continue_stop(state::time_point now);
    group_traffic& group(std::string const& name);

    boost::asio::io_context& m_context;
    traffic_observer& m_observer;
    unread_limits m_unread_limits;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    boost::asio::steady_timer m_sweep_timer;
    std::shared_ptr<fleet_view const> m_view;
    std::map<std::string, std::unique_ptr<group_traffic>> m_groups;
    std::unordered_map<caller_session*, std::shared_ptr<caller_session>>
        m_sessions;
    home_router m_router;
    allowance_service m_allowances;
    state::time_point m_keys_valid_until = state::time_point::max();
    home_server m_home_server;
    std::uint64_t m_last_session = 0;
    stop_times m_stop;
    state::time_point m_stop_started;
    std::function<void()> m_on_stopped;
};

} // namespace camphortide::proxy
