#include <algorithm>
#include <utility>

#include <camphortide/protocol/member_conversion.hpp>
#include <camphortide/transport/gateway/group_gateway.hpp>
#include <camphortide/transport/platform/client_credentials.hpp>

namespace camphortide::transport
{

namespace
{

constexpr state::duration drain_retry_after{100};

bool goes_to_primary(group_request const& request,
                     coordination::read_requirement const& requirement)
{
    return request.m_kind != request_kind::read ||
           requirement.m_source != coordination::read_requirement::source::any;
}

bool is_later_step(request_kind kind)
{
    return kind == request_kind::execute || kind == request_kind::commit ||
           kind == request_kind::roll_back || kind == request_kind::leave;
}

} // namespace

group_gateway::group_gateway(state::group_description group,
                             status_handler on_status,
                             member_handler on_unreachable,
                             gateway_policy const& policy)
    : m_group(std::move(group)),
      m_on_status(std::move(on_status)),
      m_on_unreachable(std::move(on_unreachable)),
      m_core(m_group.m_members.size(),
             policy.m_primary_acknowledges ? 1 : m_group.m_members.size()),
      m_reads(m_core, policy.m_make_read_strategy()),
      m_writes(m_core),
      m_transactions(m_core),
      m_shares(m_core, m_transactions, m_group.m_slots),
      m_answers(m_core, m_reads, m_writes, m_transactions),
      m_status_changes(m_group.m_members.size())
{
}

group_gateway::~group_gateway() = default;

void group_gateway::start(std::string const& authority_file)
{
    auto const credentials = client_credentials(authority_file);
    run_locked(
        [this, &credentials]
        {
            for (std::size_t at = 0; at < m_group.m_members.size(); ++at)
            {
                m_core.m_members.push_back(std::make_unique<member_link>(
                    m_group.m_members[at], at, credentials, weak_from_this()));
            }
        });
    tick(state::clock::now());
}

void group_gateway::close()
{
    run_locked(
        [this]
        {
            m_closed = true;
            for (auto const& member : m_core.m_members)
            {
                member->close();
            }
            std::vector<group_operation*> remaining;
            for (auto const& [id, operation] : m_core.m_operations)
            {
                remaining.push_back(operation.get());
            }
            for (auto* const operation : remaining)
            {
                m_core.complete(*operation,
                                failed_reply(operation->m_may_have_run
                                                 ? state::outcome::unknown
                                                 : state::outcome::not_executed,
                                             state::reason::draining,
                                             drain_retry_after));
            }
        });
    std::unique_lock lock(m_mutex);
    m_handlers_done.wait(lock, [this] { return m_handler_threads == 0; });
}

void group_gateway::with_shares(
    std::function<void(share_control&)> const& function)
{
    run_locked([this, &function] { function(m_shares); });
}

void group_gateway::set_leaving(std::vector<std::string> const& members)
{
    run_locked(
        [this, &members]
        {
            for (auto const& member : m_core.m_members)
            {
                member->set_leaving(
                    std::ranges::find(members, member->description().m_name) !=
                    members.end());
            }
        });
}

void group_gateway::set_primary(
    std::optional<coordination::group_primary> primary)
{
    run_locked(
        [this, &primary]
        {
            m_core.m_primary = std::move(primary);
            m_shares.set_capacity();
        });
}

void group_gateway::pause_writes(bool paused)
{
    run_locked([this, paused] { m_core.m_paused = paused; });
}

bool group_gateway::writes_drained() const
{
    std::scoped_lock const lock(m_mutex);
    return m_core.m_writes_sent == 0 && m_transactions.open() == 0;
}

bool group_gateway::idle() const
{
    std::scoped_lock const lock(m_mutex);
    return m_core.m_operations.empty() && m_core.m_writes_sent == 0 &&
           m_transactions.open() == 0;
}

void group_gateway::submit(group_request request, reply_handler done)
{
    run_locked(
        [this, &request, &done]
        {
            auto& operation = m_core.add(std::move(request), std::move(done));
            if (m_closed)
            {
                m_core.complete(operation,
                                failed_reply(state::outcome::not_executed,
                                             state::reason::draining,
                                             drain_retry_after));
                return;
            }
            admit(operation);
        });
}

void group_gateway::admit(group_operation& operation)
{
    auto const& request = operation.m_request;
    if (is_later_step(request.m_kind))
    {
        m_transactions.step(operation);
        return;
    }
    operation.m_requirement = coordination::make_read_requirement(
        request.m_token, m_group.m_name, request.m_max_age, m_core.m_now,
        coordination::deadline(request.m_deadline));
    if (request.m_max_age)
    {
        m_probe_schedule.note_allowed_age(*request.m_max_age, m_core.m_now);
    }
    operation.m_requirement.m_delivery_time = request.m_delivery_time;
    operation.m_slot_class = goes_to_primary(request, operation.m_requirement)
                                 ? coordination::slot_class::primary
                                 : coordination::slot_class::replica;
    m_shares.arrived(request.m_entry);
    if (m_shares.lacks_share(request.m_entry, operation.m_slot_class))
    {
        m_core.complete(operation, failed_reply(state::outcome::not_executed,
                                                state::reason::no_home,
                                                drain_retry_after));
        return;
    }
    auto const decision = m_core.m_admission.submit(
        {operation.m_id, request.m_entry, operation.m_slot_class,
         request.m_deadline, std::nullopt, false},
        m_core.m_now);
    if (decision.m_result == coordination::admission_result::refused)
    {
        m_core.complete(operation, failed_reply(state::outcome::not_executed,
                                                decision.m_reason,
                                                decision.m_retry_after));
        return;
    }
    if (decision.m_result == coordination::admission_result::admitted)
    {
        start(operation);
    }
}

void group_gateway::start(group_operation& operation)
{
    operation.m_reply.m_queue_wait =
        std::chrono::duration_cast<std::chrono::microseconds>(
            group_operation::steady_time::clock::now() - operation.m_arrived);
    switch (operation.m_request.m_kind)
    {
    case request_kind::read:
        m_reads.start(operation);
        return;
    case request_kind::begin:
        m_transactions.begin(operation);
        return;
    default:
        m_writes.start(operation);
        return;
    }
}

void group_gateway::on_reply(std::size_t member,
                             coordination::connection_id connection,
                             endpoint::v1::StatementReply const& reply)
{
    run_locked(
        [&]
        {
            if (m_closed)
            {
                return;
            }
            note_status(member, protocol::from_proto(reply.status()));
            m_answers.received(member, connection, reply);
        });
}

void group_gateway::on_connection_closed(std::size_t member,
                                         coordination::connection_id connection)
{
    run_locked(
        [&]
        {
            auto const awaited = m_answers.connection_lost(member, connection);
            if (m_closed)
            {
                return;
            }
            if (awaited)
            {
                m_answers.answer_failed(member, *awaited);
                return;
            }
            m_transactions.connection_closed(member, connection);
        });
}

void group_gateway::on_status(std::size_t member,
                              endpoint::v1::MemberStatus const& status)
{
    run_locked([&] { note_status(member, protocol::from_proto(status)); });
}

void group_gateway::on_observation_closed(std::size_t member)
{
    run_locked(
        [&]
        {
            m_core.m_members[member]->observation_lost();
            if (m_on_unreachable && !m_closed)
            {
                m_core.m_completions.emplace_back(
                    [this, &name = m_group.m_members[member].m_name]
                    { m_on_unreachable(name); });
            }
        });
}

void group_gateway::note_status(std::size_t member,
                                state::member_status const& status)
{
    m_core.m_freshness.note_status(status);
    m_core.m_log.note_status(status);
    m_core.m_members[member]->note_status(status, m_core.m_freshness,
                                          m_core.m_now);
    m_status_changes.note(member, status);
}

void group_gateway::probe(std::string_view member, std::uint64_t number)
{
    run_locked(
        [&]
        {
            if (number > m_last_probe)
            {
                m_last_probe = number;
                m_core.m_freshness.note_probe_sent(number, m_core.m_now);
            }
            for (auto const& link : m_core.m_members)
            {
                if (link->description().m_name == member)
                {
                    link->probe(number, m_reads.has_held_answers(),
                                m_core.m_now);
                }
            }
        });
}

state::duration group_gateway::probe_interval()
{
    std::scoped_lock const lock(m_mutex);
    return m_reads.has_held_answers()
               ? state::duration::zero()
               : m_probe_schedule.interval(state::clock::now());
}

member_client* group_gateway::client(std::string_view member)
{
    std::scoped_lock const lock(m_mutex);
    for (auto const& link : m_core.m_members)
    {
        if (link->description().m_name == member)
        {
            return &link->client();
        }
    }
    return nullptr;
}

void group_gateway::tick(state::time_point now)
{
    run_locked(
        [this, now]
        {
            m_core.apply_admission_changes(m_core.m_admission.tick(now));
            m_writes.expire();
            m_transactions.expire();
            auto const waiting = m_writes.waiting() + m_reads.waiting();
            for (auto const& member : m_core.m_members)
            {
                member->set_waiting(waiting);
                if (!m_closed)
                {
                    member->step(now);
                }
            }
        });
}

group_report group_gateway::report() const
{
    std::scoped_lock const lock(m_mutex);
    group_report result;
    for (auto const& member : m_core.m_members)
    {
        auto const& pool = member->pool();
        result.m_members.push_back(
            {member->status(), static_cast<std::uint32_t>(pool.budget()),
             static_cast<std::uint32_t>(pool.idle()),
             static_cast<std::uint32_t>(pool.busy()), member->reachable()});
    }
    result.m_primary = m_core.m_primary;
    result.m_safe = m_core.m_log.view().m_safe;
    result.m_queued =
        static_cast<std::uint32_t>(m_writes.waiting() + m_reads.waiting());
    return result;
}

void group_gateway::advance()
{
    m_writes.advance();
    m_transactions.advance();
    m_reads.advance();
    while (!m_core.m_admitted.empty())
    {
        for (auto const id : std::exchange(m_core.m_admitted, {}))
        {
            if (auto* const operation = m_core.find(id))
            {
                start(*operation);
            }
        }
    }
    for (auto const& member : m_core.m_members)
    {
        if (!m_closed && member->needs_step(m_core.m_now))
        {
            member->step(m_core.m_now);
        }
    }
}

template <typename Function>
void group_gateway::run_locked(Function const& function)
{
    std::vector<group_core::completion> completions;
    std::vector<state::member_status> statuses;
    {
        std::scoped_lock const lock(m_mutex);
        m_core.m_now = state::clock::now();
        function();
        advance();
        completions.swap(m_core.m_completions);
        statuses = m_status_changes.take();
        if (m_closed)
        {
            statuses.clear();
        }
        ++m_handler_threads;
    }
    for (auto const& completion : completions)
    {
        completion();
    }
    if (m_on_status)
    {
        for (auto const& status : statuses)
        {
            m_on_status(status);
        }
    }
    std::scoped_lock const lock(m_mutex);
    if (--m_handler_threads == 0)
    {
        m_handlers_done.notify_all();
    }
}

} // namespace camphortide::transport
