#include <algorithm>
#include <utility>

#include <camphortide/coordination/safe_position.hpp>
#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/gateway/group_gateway.hpp>

namespace camphortide::transport
{

struct group_gateway::operation
{
    group_request m_request;
    reply_handler m_done;
    group_reply m_reply; ///< held until its position is safe
    state::term m_term;
    bool m_completed = false;
};

struct group_gateway::connection
{
    std::uint64_t m_id = 0;
    std::shared_ptr<member_connection> m_stream;
    bool m_open = false;
    operation_ptr m_work;
    std::uint64_t m_request = 0;
};

struct group_gateway::member
{
    std::string m_name;
    std::unique_ptr<member_client> m_client;
    std::shared_ptr<member_observation> m_observation;
    std::optional<state::member_status> m_status;
    std::vector<std::unique_ptr<connection>> m_connections;

    connection* idle()
    {
        auto const found =
            std::ranges::find_if(m_connections, [](auto const& one)
                                 { return one->m_open && !one->m_work; });
        return found == m_connections.end() ? nullptr : found->get();
    }

    connection* find(std::uint64_t id)
    {
        auto const found = std::ranges::find_if(
            m_connections, [&](auto const& one) { return one->m_id == id; });
        return found == m_connections.end() ? nullptr : found->get();
    }

    bool leads() const
    {
        return m_status && m_status->m_role == state::member_role::primary &&
               m_status->m_granted == m_status->m_followed;
    }
};

namespace
{

group_reply failed(state::outcome outcome, state::reason reason)
{
    group_reply reply;
    reply.m_outcome = outcome;
    reply.m_reason = reason;
    return reply;
}

endpoint::v1::StatementKind to_proto(request_kind kind)
{
    switch (kind)
    {
    case request_kind::read:
        return endpoint::v1::STATEMENT_KIND_READ;
    case request_kind::write:
        return endpoint::v1::STATEMENT_KIND_WRITE;
    case request_kind::resolve:
        return endpoint::v1::STATEMENT_KIND_RESOLVE;
    }
    return endpoint::v1::STATEMENT_KIND_UNSPECIFIED;
}

void run_all(std::vector<std::function<void()>> const& completions)
{
    for (auto const& completion : completions)
    {
        completion();
    }
}

} // namespace

group_gateway::group_gateway(std::vector<member_address> const& members,
                             std::size_t connections)
    : m_connections(connections)
{
    for (auto const& address : members)
    {
        auto added = std::make_unique<member>();
        added->m_name = address.m_name;
        added->m_client = std::make_unique<member_client>(
            address.m_address, grpc::InsecureChannelCredentials());
        m_members.push_back(std::move(added));
    }
}

group_gateway::~group_gateway() = default;

void group_gateway::close()
{
    std::vector<std::shared_ptr<member_connection>> connections;
    std::vector<std::shared_ptr<member_observation>> observations;
    {
        std::scoped_lock const lock(m_mutex);
        m_closed = true;
        for (auto const& one : m_members)
        {
            for (auto const& held : one->m_connections)
            {
                connections.push_back(held->m_stream);
            }
            if (one->m_observation)
            {
                observations.push_back(one->m_observation);
            }
        }
    }
    for (auto const& one : connections)
    {
        one->close();
    }
    for (auto const& one : observations)
    {
        one->close();
    }
}

void group_gateway::submit(group_request request, reply_handler done)
{
    auto work = std::make_shared<operation>();
    work->m_request = std::move(request);
    work->m_done = std::move(done);
    completions completed;
    {
        std::scoped_lock const lock(m_mutex);
        dispatch(work, completed);
    }
    run_all(completed);
}

void group_gateway::tick(state::time_point now)
{
    completions completed;
    {
        std::scoped_lock const lock(m_mutex);
        ++m_probe;
        for (std::size_t at = 0; at < m_members.size(); ++at)
        {
            auto& one = *m_members[at];
            observe(at);
            endpoint::v1::Probe probe;
            probe.set_probe(m_probe);
            one.m_observation->send(probe);
            while (one.m_connections.size() < m_connections)
            {
                open(at);
            }
        }
        for (auto const& work : std::exchange(m_waiting, {}))
        {
            if (work->m_request.m_deadline <= now)
            {
                complete(work,
                         failed(state::outcome::not_executed,
                                state::reason::deadline_exceeded),
                         completed);
                continue;
            }
            dispatch(work, completed);
        }
    }
    run_all(completed);
}

std::vector<state::member_status> group_gateway::statuses() const
{
    std::scoped_lock const lock(m_mutex);
    return known();
}

std::vector<state::member_status> group_gateway::known() const
{
    std::vector<state::member_status> result;
    for (auto const& one : m_members)
    {
        if (one->m_status)
        {
            result.push_back(*one->m_status);
        }
    }
    return result;
}

group_gateway::member* group_gateway::primary()
{
    member* best = nullptr;
    for (auto const& one : m_members)
    {
        if (one->leads() && (best == nullptr || one->m_status->m_followed >
                                                    best->m_status->m_followed))
        {
            best = one.get();
        }
    }
    return best;
}

group_gateway::member* group_gateway::choose(operation const& work)
{
    if (work.m_request.m_kind == request_kind::read &&
        work.m_request.m_required)
    {
        for (auto const& one : m_members)
        {
            if (one->m_status &&
                one->m_status->m_role == state::member_role::replica &&
                one->m_status->m_applied.m_index >=
                    work.m_request.m_required->m_index &&
                one->idle() != nullptr)
            {
                return one.get();
            }
        }
    }
    return primary();
}

void group_gateway::dispatch(operation_ptr const& work, completions& done)
{
    if (m_closed)
    {
        complete(work,
                 failed(state::outcome::not_executed, state::reason::draining),
                 done);
        return;
    }
    auto* const target = choose(*work);
    auto* const on = target == nullptr ? nullptr : target->idle();
    if (on == nullptr)
    {
        m_waiting.push_back(work);
        return;
    }
    send(*target, *on, work);
}

void group_gateway::send(member& target, connection& on,
                         operation_ptr const& work)
{
    endpoint::v1::Statement message;
    message.set_request(++on.m_request);
    message.set_kind(to_proto(work->m_request.m_kind));
    work->m_term = target.m_status->m_followed;
    message.set_term(work->m_term.value());
    message.set_key(work->m_request.m_key);
    message.set_text(work->m_request.m_statement);
    on.m_work = work;
    on.m_stream->send(std::move(message));
}

void group_gateway::on_reply(std::size_t at, std::uint64_t id,
                             endpoint::v1::StatementReply const& reply)
{
    completions done;
    {
        std::scoped_lock const lock(m_mutex);
        auto& from = *m_members[at];
        auto* const on = from.find(id);
        if (on == nullptr || m_closed)
        {
            return;
        }
        auto status = protocol::from_proto(reply.status());
        if (reply.code() == endpoint::v1::STATEMENT_CODE_OPENED)
        {
            on->m_open = true;
        }
        else if (on->m_work && reply.request() == on->m_request)
        {
            auto const work = std::exchange(on->m_work, nullptr);
            if (work->m_request.m_kind == request_kind::read)
            {
                answer_read(from, work, reply, done);
            }
            else
            {
                answer_write(from, work, reply, done);
            }
        }
        update(from, std::move(status), done);
        if (!m_waiting.empty())
        {
            auto const next = std::move(m_waiting.front());
            m_waiting.pop_front();
            dispatch(next, done);
        }
    }
    run_all(done);
}

void group_gateway::answer_read(member& from, operation_ptr const& work,
                                endpoint::v1::StatementReply const& reply,
                                completions& done)
{
    if (reply.code() != endpoint::v1::STATEMENT_CODE_OK)
    {
        auto refused = failed(state::outcome::not_executed,
                              state::reason::statement_failed);
        refused.m_result = reply.result();
        complete(work, std::move(refused), done);
        return;
    }
    auto const position = protocol::from_proto(reply.position());
    if (work->m_request.m_required &&
        position.m_index < work->m_request.m_required->m_index)
    {
        m_waiting.push_back(work);
        return;
    }
    work->m_reply.m_outcome = state::outcome::executed;
    work->m_reply.m_reason = state::reason::none;
    work->m_reply.m_result = reply.result();
    work->m_reply.m_position = position;
    work->m_reply.m_member = from.m_name;
    work->m_reply.m_from_replica =
        protocol::from_proto(reply.status()).m_role ==
        state::member_role::replica;
    m_unsafe.push_back(work);
}

void group_gateway::answer_write(member& from, operation_ptr const& work,
                                 endpoint::v1::StatementReply const& reply,
                                 completions& done)
{
    switch (reply.code())
    {
    case endpoint::v1::STATEMENT_CODE_OK:
        work->m_reply.m_outcome = state::outcome::executed;
        work->m_reply.m_reason = state::reason::none;
        break;
    case endpoint::v1::STATEMENT_CODE_KEY_BARRED:
        work->m_reply.m_outcome = state::outcome::not_executed;
        work->m_reply.m_reason = state::reason::key_barred;
        break;
    case endpoint::v1::STATEMENT_CODE_NOT_PRIMARY:
    case endpoint::v1::STATEMENT_CODE_WRONG_TERM:
        m_waiting.push_back(work);
        return;
    default:
        work->m_reply.m_reason = state::reason::statement_failed;
        work->m_reply.m_result = reply.result();
        complete(work, work->m_reply, done);
        return;
    }
    work->m_reply.m_result = reply.result();
    work->m_reply.m_position = protocol::from_proto(reply.position());
    work->m_reply.m_member = from.m_name;
    work->m_reply.m_replayed = reply.replayed();
    m_unsafe.push_back(work);
}

void group_gateway::acknowledge_safe(completions& done)
{
    auto* const leader = primary();
    if (leader == nullptr || m_unsafe.empty())
    {
        return;
    }
    auto const safe = coordination::safe_index(known(), m_members.size(),
                                               leader->m_status->m_followed);
    auto const& history = leader->m_status->m_history;
    std::erase_if(
        m_unsafe,
        [&](operation_ptr const& work)
        {
            auto const& position = work->m_reply.m_position;
            if (position.m_index > safe)
            {
                return false;
            }
            if (history.contains(position, leader->m_status->m_received))
            {
                complete(work, work->m_reply, done);
            }
            else if (work->m_request.m_kind == request_kind::read)
            {
                m_waiting.push_back(work);
            }
            else
            {
                complete(work,
                         failed(state::outcome::unknown,
                                state::reason::term_superseded),
                         done);
            }
            return true;
        });
}

void group_gateway::complete(operation_ptr const& work, group_reply reply,
                             completions& done)
{
    if (std::exchange(work->m_completed, true))
    {
        return;
    }
    done.emplace_back([work, reply = std::move(reply)]
                      { work->m_done(reply); });
}

void group_gateway::update(member& of, state::member_status status,
                           completions& done)
{
    if (!of.m_status || status.m_granted >= of.m_status->m_granted)
    {
        of.m_status = std::move(status);
    }
    acknowledge_safe(done);
}

void group_gateway::on_status(std::size_t at, state::member_status status)
{
    completions done;
    {
        std::scoped_lock const lock(m_mutex);
        if (m_closed)
        {
            return;
        }
        update(*m_members[at], std::move(status), done);
        auto const waiting = std::exchange(m_waiting, {});
        for (auto const& work : waiting)
        {
            dispatch(work, done);
        }
    }
    run_all(done);
}

void group_gateway::on_close(std::size_t at, std::uint64_t id)
{
    completions done;
    {
        std::scoped_lock const lock(m_mutex);
        auto& from = *m_members[at];
        auto* const on = from.find(id);
        if (on == nullptr || m_closed)
        {
            return;
        }
        auto const work = std::exchange(on->m_work, nullptr);
        std::erase_if(from.m_connections,
                      [&](auto const& one) { return one->m_id == id; });
        if (work && work->m_request.m_kind == request_kind::read)
        {
            m_waiting.push_back(work);
        }
        else if (work)
        {
            complete(
                work,
                failed(state::outcome::unknown, state::reason::connection_lost),
                done);
        }
    }
    run_all(done);
}

void group_gateway::open(std::size_t at)
{
    auto const id = ++m_last_id;
    auto added = std::make_unique<connection>();
    added->m_id = id;
    added->m_stream = m_members[at]->m_client->connect(
        [weak = weak_from_this(), at, id](auto const& reply)
        {
            if (auto const self = weak.lock())
            {
                self->on_reply(at, id, reply);
            }
        },
        [weak = weak_from_this(), at, id](auto const&)
        {
            if (auto const self = weak.lock())
            {
                self->on_close(at, id);
            }
        });
    m_members[at]->m_connections.push_back(std::move(added));
}

void group_gateway::observe(std::size_t at)
{
    auto& one = *m_members[at];
    if (one.m_observation)
    {
        return;
    }
    one.m_observation = one.m_client->observe(
        [weak = weak_from_this(), at](auto const& status)
        {
            if (auto const self = weak.lock())
            {
                self->on_status(at, protocol::from_proto(status));
            }
        },
        [weak = weak_from_this(), at](auto const&)
        {
            if (auto const self = weak.lock())
            {
                std::scoped_lock const lock(self->m_mutex);
                self->m_members[at]->m_observation.reset();
            }
        });
}

} // namespace camphortide::transport
