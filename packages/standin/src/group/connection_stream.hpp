#pragma once

#include <optional>
#include <string>
#include <vector>

#include <camphortide/endpoint/v1/member.pb.h>
#include <camphortide/standin/group/member_server.hpp>
#include <camphortide/transport/server_stream.hpp>

namespace camphortide::standin
{

/// A database connection to a member and its open transaction.
class connection_stream final
    : public transport::server_stream<endpoint::v1::Statement,
                                      endpoint::v1::StatementReply>
{
public:
    explicit connection_stream(member_server& member) : m_member(member) {}

    /// Notifies the client that the connection is open.
    void send_opened();

private:
    struct transaction
    {
        state::term m_term;
        std::vector<std::string> m_statements;
    };

    using handler =
        statement_answer (connection_stream::*)(endpoint::v1::Statement const&);

    void handle(endpoint::v1::Statement const& request) override;
    void on_end() override;
    void accept(endpoint::v1::Statement const& request);
    void run(endpoint::v1::Statement const& request);
    void reply(endpoint::v1::Statement const& request, statement_answer answer);

    statement_answer read(endpoint::v1::Statement const& request);
    statement_answer write(endpoint::v1::Statement const& request);
    statement_answer begin(endpoint::v1::Statement const& request);
    statement_answer execute(endpoint::v1::Statement const& request);
    statement_answer commit(endpoint::v1::Statement const& request);
    statement_answer roll_back(endpoint::v1::Statement const& request);
    statement_answer resolve(endpoint::v1::Statement const& request);
    statement_answer ping(endpoint::v1::Statement const& request);

    member_server& m_member;
    std::optional<transaction> m_transaction;
};

} // namespace camphortide::standin
