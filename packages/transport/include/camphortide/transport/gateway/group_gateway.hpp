#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/state/member_status.hpp>
#include <camphortide/transport/gateway/group_request.hpp>
#include <camphortide/transport/gateway/member_client.hpp>

namespace camphortide::transport
{

/// Where a member can be reached.
struct member_address
{
    std::string m_name;
    std::string m_address;
};

/// Serves the requests for one database group over the connections that this
/// instance holds to its members.
class group_gateway : public std::enable_shared_from_this<group_gateway>
{
public:
    /// Made by make_shared, and closed before it is let go.
    /// @param members of the group
    /// @param connections to hold to each member
    group_gateway(std::vector<member_address> const& members,
                  std::size_t connections);
    ~group_gateway();
    group_gateway(group_gateway const&) = delete;
    group_gateway& operator=(group_gateway const&) = delete;

    /// Closes every connection. Requests that wait are not executed.
    void close();

    /// Runs a request.
    /// @param done is called once, on any thread
    void submit(group_request request, reply_handler done);

    /// Probes the members, reopens connections, expires requests.
    void tick(state::time_point now);

    /// @return the latest status of each member that is known
    std::vector<state::member_status> statuses() const;

private:
    struct operation;
    struct connection;
    struct member;
    using operation_ptr = std::shared_ptr<operation>;
    using completions = std::vector<std::function<void()>>;

    void dispatch(operation_ptr const& work, completions& done);
    void send(member& target, connection& on, operation_ptr const& work);
    void on_reply(std::size_t at, std::uint64_t id,
                  endpoint::v1::StatementReply const& reply);
    void on_close(std::size_t at, std::uint64_t id);
    void on_status(std::size_t at, state::member_status status);
    void update(member& of, state::member_status status, completions& done);
    void answer_read(member& from, operation_ptr const& work,
                     endpoint::v1::StatementReply const& reply,
                     completions& done);
    void answer_write(member& from, operation_ptr const& work,
                      endpoint::v1::StatementReply const& reply,
                      completions& done);
    void acknowledge_safe(completions& done);
    void complete(operation_ptr const& work, group_reply reply,
                  completions& done);
    void open(std::size_t at);
    void observe(std::size_t at);
    member* primary();
    member* choose(operation const& work);
    std::vector<state::member_status> known() const;

    std::size_t const m_connections;
    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<member>> m_members;
    std::vector<operation_ptr> m_unsafe; ///< answered, not yet safe
    std::deque<operation_ptr> m_waiting; ///< for a primary or a connection
    std::uint64_t m_last_id = 0;
    std::uint64_t m_probe = 0;
    bool m_closed = false;
};

} // namespace camphortide::transport
