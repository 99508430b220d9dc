#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/proxy/statement_request.hpp>
#include <camphortide/proxy/v1/forwarding.pb.h>

namespace camphortide::proxy
{

/// What a home server requires of its owner.
class home_server_host
{
public:
    home_server_host() = default;
    virtual ~home_server_host() = default;
    home_server_host(home_server_host const&) = delete;
    home_server_host& operator=(home_server_host const&) = delete;

    /// @param group whose members the statement is for
    /// @param no_home the sender reaches no home of the group
    /// @return true if this instance may have connections to the members: it is
    ///     a home of the group, or stands in for the homes
    virtual bool serves(std::string const& group, bool no_home) const = 0;

    /// Runs another instance's statement at a member. The result goes to the
    /// request's handler.
    virtual void
    run_locally(std::shared_ptr<statement_request> const& request) = 0;

    /// Answers another instance's request for tokens of a customer.
    virtual v1::Message
    answer_allowance(v1::AllowanceRequest const& message) = 0;

    /// Processes another instance's announcement that it is a keeper.
    virtual void
    note_allowance_keeper(v1::AllowanceAnnouncement const& message) = 0;

    /// Rolls back a transaction of another instance.
    virtual void roll_back(std::string const& group,
                           bound_connection const& bound) = 0;
};

/// Accepts statements that other instances forward, and returns their results.
/// Not thread safe: used on the traffic thread only.
class home_server
{
public:
    home_server(boost::asio::io_context& context, home_server_host& host);
    ~home_server();

    /// Listens for links of other instances.
    /// @param address host:port
    /// @return false if the address can't be used
    bool listen(std::string const& address);

    /// Tells the linked instances to send new statements to other homes.
    void announce_leaving();

    /// @return true if no statement is in progress and no transaction is open
    bool idle() const;

    /// @return number of links of other instances
    std::size_t links() const { return m_links.size(); }

private:
    class link;

    void accept();

    boost::asio::io_context& m_context;
    home_server_host& m_host;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<std::shared_ptr<link>> m_links;
    std::uint64_t m_last_number = 0; ///< given to a statement
    bool m_leaving = false;
};

} // namespace camphortide::proxy
