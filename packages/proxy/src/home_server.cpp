#include "listener.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include <camphortide/proxy/forwarding_conversion.hpp>
#include <camphortide/proxy/home_server.hpp>
#include <camphortide/proxy/message_stream.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;

namespace
{

/// Statements of other instances are numbered from here, apart from those of
/// this instance's callers.
constexpr std::uint64_t first_forwarded_number = std::uint64_t{1} << 63;
/// An instance with more unread answers isn't read from until it has taken
/// them: as many as one answer may be long.
constexpr std::size_t max_unread_bytes = message_stream::max_message_bytes;

/// Replaces an answer that is too long for a link.
statement_result too_long(statement_result result, coordination::sent_kind kind)
{
    bool const reads = kind != coordination::sent_kind::single_write &&
                       kind != coordination::sent_kind::commit_of_writes;
    result.m_reply.m_rows.clear();
    result.m_reply.m_signature.clear();
    result.m_reply.m_failure = state::statement_failure{
        reads ? state::statement_error::failed
              : state::statement_error::in_doubt,
        "answer longer than " +
            std::to_string(message_stream::max_message_bytes) + " bytes"};
    return result;
}

} // namespace

/// The connection of one other instance, with its statements and transactions.
class home_server::link : public std::enable_shared_from_this<home_server::link>
{
public:
    link(home_server& owner, asio::ip::tcp::socket socket)
        : m_owner(owner),
          m_stream(std::make_shared<message_stream>(std::move(socket)))
    {
    }

    void start()
    {
        m_stream->limit_unsent(max_unread_bytes);
        m_stream->start(weak_from_this(), &link::handle_message, &link::end);
    }

    void send_leaving()
    {
        v1::Message message;
        message.mutable_leaving();
        m_stream->send(message);
    }

    void close() { m_stream->close(); }

    bool idle() const { return m_running == 0 && m_transactions.empty(); }

private:
    /// An open transaction, between or during its statements.
    struct open_transaction
    {
        std::string m_group;
        bound_connection m_bound;
        bool m_busy = false;
        bool m_abandoned = false;
    };

    void handle_message(v1::Message const& message)
    {
        if (message.has_statement())
        {
            handle_statement(message.statement());
        }
        else if (message.has_roll_back())
        {
            roll_back(message.roll_back().transaction());
        }
        else if (message.has_ping())
        {
            v1::Message answer;
            answer.mutable_ping()->set_answer(true);
            m_stream->send(answer);
        }
        else if (message.has_allowance_request())
        {
            m_stream->send(
                m_owner.m_host.answer_allowance(message.allowance_request()));
        }
        else if (message.has_allowance_announcement())
        {
            m_owner.m_host.note_allowance_keeper(
                message.allowance_announcement());
        }
    }

    void handle_statement(v1::Statement const& message)
    {
        auto const request = decode_statement(message, state::clock::now());
        auto const bound = m_transactions.find(message.transaction());
        bool const unknown_transaction =
            message.transaction() != 0 &&
            (bound == m_transactions.end() || bound->second.m_busy);
        bool const not_home =
            message.transaction() == 0 &&
            !m_owner.m_host.serves(message.group(), message.no_home());
        if (!request || unknown_transaction || not_home)
        {
            m_stream->send(encode_not_run(message.number()));
            return;
        }
        if (message.transaction() != 0)
        {
            bound->second.m_busy = true;
            request->m_bound = bound->second.m_bound;
        }
        run(request, message.number(), message.transaction());
    }

    void run(std::shared_ptr<statement_request> const& request,
             std::uint64_t number, std::uint64_t transaction)
    {
        request->m_number = first_forwarded_number + ++m_owner.m_last_number;
        ++m_running;
        request->m_done =
            [self = shared_from_this(), number, transaction,
             kind = request->m_kind,
             group = request->m_route->m_group](statement_result const& result)
        {
            --self->m_running;
            auto const open =
                self->update_transaction(group, transaction, result.m_bound);
            auto const message = encode_result(result, number, open);
            self->m_stream->send(
                message.ByteSizeLong() <= message_stream::max_message_bytes
                    ? message
                    : encode_result(too_long(result, kind), number, open));
        };
        m_owner.m_host.run_locally(request);
    }

    /// Updates the open transactions after a statement.
    /// @param group of the statement
    /// @param number of its transaction; 0: none before it
    /// @param bound what the transaction is bound to, if it stays open
    /// @return the number of the transaction that stays open; 0: none
    std::uint64_t
    update_transaction(std::string const& group, std::uint64_t number,
                       std::optional<bound_connection> const& bound)
    {
        auto const it = m_transactions.find(number);
        bool const abandoned =
            m_ended || (it != m_transactions.end() && it->second.m_abandoned);
        if (it != m_transactions.end())
        {
            m_transactions.erase(it);
        }
        if (!bound)
        {
            return 0;
        }
        if (abandoned)
        {
            m_owner.m_host.roll_back(group, *bound);
            return 0;
        }
        auto const open_number = number != 0 ? number : ++m_last_transaction;
        m_transactions[open_number] = {group, *bound};
        return open_number;
    }

    void roll_back(std::uint64_t number)
    {
        auto const it = m_transactions.find(number);
        if (it == m_transactions.end())
        {
            return;
        }
        if (it->second.m_busy)
        {
            it->second.m_abandoned = true;
            return;
        }
        auto const ended = std::move(it->second);
        m_transactions.erase(it);
        m_owner.m_host.roll_back(ended.m_group, ended.m_bound);
    }

    void end()
    {
        auto const self = shared_from_this();
        m_ended = true;
        std::vector<std::uint64_t> numbers;
        for (auto const& entry : m_transactions)
        {
            numbers.push_back(entry.first);
        }
        for (auto const number : numbers)
        {
            roll_back(number);
        }
        m_owner.m_links.erase(self);
    }

    home_server& m_owner;
    std::shared_ptr<message_stream> m_stream;
    std::map<std::uint64_t, open_transaction> m_transactions;
    std::uint64_t m_last_transaction = 0;
    std::size_t m_running = 0;
    bool m_ended = false;
};

home_server::home_server(asio::io_context& context, home_server_host& host)
    : m_context(context),
      m_host(host)
{
}

home_server::~home_server()
{
    for (auto const& each : m_links)
    {
        each->close();
    }
}

bool home_server::listen(std::string const& address)
{
    m_acceptor = open_listener(m_context, address);
    if (!m_acceptor)
    {
        return false;
    }
    accept();
    return true;
}

void home_server::accept()
{
    m_acceptor->async_accept(
        [this](boost::system::error_code error, asio::ip::tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                auto const accepted =
                    std::make_shared<link>(*this, std::move(socket));
                m_links.insert(accepted);
                accepted->start();
                if (m_leaving)
                {
                    accepted->send_leaving();
                }
            }
            accept();
        });
}

void home_server::announce_leaving()
{
    m_leaving = true;
    for (auto const& each : m_links)
    {
        each->send_leaving();
    }
}

bool home_server::idle() const
{
    return std::ranges::all_of(m_links,
                               [](auto const& each) { return each->idle(); });
}

} // namespace camphortide::proxy
