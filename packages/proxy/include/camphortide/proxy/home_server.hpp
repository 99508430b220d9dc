#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include <camphortide/proxy/statement_request.hpp>

namespace camphortide::proxy
{

/// What a home needs of the traffic around it.
class home_server_host
{
public:
    home_server_host() = default;
    virtual ~home_server_host() = default;
    home_server_host(home_server_host const&) = delete;
    home_server_host& operator=(home_server_host const&) = delete;

    /// @return true if this instance has connections to a group's members
    virtual bool is_home(std::string const& group) const = 0;

    /// Runs a statement of another instance at a member.
    virtual void
    run_locally(std::shared_ptr<statement_request> const& request) = 0;

    /// Ends a transaction of another instance.
    virtual void roll_back(std::string const& group,
                           bound_connection const& bound) = 0;
};

/// Takes statements from other instances. Belongs to the traffic thread.
class home_server
{
public:
    home_server(boost::asio::io_context& context, home_server_host& host);
    ~home_server();

    /// @param address host:port
    /// @return false if it can't be had
    bool listen(std::string const& address);

    /// Tells all other instances to send new statements elsewhere.
    void announce_leaving();

    /// @return true if no statement and no transaction is left
    bool idle() const;

    /// @return links of other instances
    std::size_t links() const { return m_links.size(); }

private:
    class link;

    void accept();

    boost::asio::io_context& m_context;
    home_server_host& m_host;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<std::shared_ptr<link>> m_links;
    std::uint64_t m_last_number = 0; ///< of a statement
    bool m_leaving = false;
};

} // namespace camphortide::proxy
