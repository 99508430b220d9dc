#include "listener.hpp"

#include <utility>

#include <camphortide/proxy/traffic.hpp>

namespace camphortide::proxy
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// How often idle transactions, surplus connections and the progress of a stop
/// are checked.
constexpr state::duration sweep_interval{100};
/// Part of a stop that is kept to send the last answers.
constexpr state::duration answer_reserve{100};

} // namespace

traffic::traffic(asio::io_context& context, traffic_observer& observer,
                 unread_limits limits)
    : m_context(context),
      m_observer(observer),
      m_unread_limits(limits),
      m_sweep_timer(context),
      m_router(context, observer,
               [this](auto const& request) { run_locally(request); }),
      m_allowances(context, m_router),
      m_home_server(context, *this)
{
    sweep();
}

traffic::~traffic() = default;

bool traffic::listen(std::string const& address)
{
    m_acceptor = open_listener(m_context, address);
    if (!m_acceptor)
    {
        return false;
    }
    accept();
    return true;
}

void traffic::accept()
{
    m_acceptor->async_accept(
        [this](error_code error, asio::ip::tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                auto const session = std::make_shared<caller_session>(
                    std::move(socket), *this, ++m_last_session);
                m_sessions[session.get()] = session;
                session->start([this](caller_session* ended)
                               { m_sessions.erase(ended); });
            }
            accept();
        });
}

group_traffic& traffic::group(std::string const& name)
{
    auto& entry = m_groups[name];
    if (!entry)
    {
        entry = std::make_unique<group_traffic>(m_context, name, m_observer);
        if (m_view)
        {
            entry->apply(*m_view);
        }
    }
    return *entry;
}

void traffic::apply(std::shared_ptr<fleet_view const> const& view)
{
    bool const first = m_view == nullptr;
    m_view = view;
    m_router.apply(*view);
    m_allowances.apply(*view);
    for (auto const& entry : view->m_configuration->m_groups)
    {
        group(entry.first);
    }
    for (auto const& entry : m_groups)
    {
        entry.second->apply(*view);
        for (auto const& request : entry.second->take_misplaced())
        {
            submit(request);
        }
    }
    if (first)
    {
        auto const sessions = m_sessions;
        for (auto const& entry : sessions)
        {
            entry.second->configuration_arrived();
        }
    }
}

void traffic::close_primary(std::string const& name,
                            state::store_revision const& revision, bool orderly,
                            std::function<void()> closed)
{
    group(name).close_primary(revision, orderly, std::move(closed));
}

std::shared_ptr<state::configuration const> traffic::configuration() const
{
    return m_view ? m_view->m_configuration : nullptr;
}

void traffic::submit(std::shared_ptr<statement_request> const& request)
{
    if (!request->m_bound && m_router.forwards(request->m_route->m_group))
    {
        m_router.submit(request);
    }
    else
    {
        run_locally(request);
    }
}

void traffic::roll_back(std::string const& name, bound_connection const& bound)
{
    if (bound.m_home)
    {
        home_router::roll_back(bound);
        return;
    }
    group(name).roll_back(bound);
}

bool traffic::limits_operations(std::string const& customer) const
{
    return m_allowances.limits(customer);
}

void traffic::acquire_allowance(
    std::string const& customer,
    std::function<void(coordination::allowance_decision)> done)
{
    m_allowances.acquire(customer, std::move(done));
}

bool traffic::keys_up_to_date() const
{
    return state::clock::now() < m_keys_valid_until;
}

bool traffic::leaving() const
{
    return m_on_stopped &&
           state::clock::now() - m_stop_started >= m_stop.m_accept;
}

state::time_point traffic::stops_at() const
{
    return m_on_stopped ? m_stop_started + m_stop.m_end - answer_reserve
                        : state::time_point::max();
}

v1::Message traffic::answer_allowance(v1::AllowanceRequest const& message)
{
    return m_allowances.answer(message);
}

void traffic::note_allowance_keeper(v1::AllowanceAnnouncement const& message)
{
    m_allowances.note_announcement(message);
}

bool traffic::serves(std::string const& name, bool no_home) const
{
    return m_view &&
           (!m_router.forwards(name) || (no_home && m_router.stands_in(name)));
}

void traffic::run_locally(std::shared_ptr<statement_request> const& request)
{
    // If the transaction's first statement was moved to another home, the
    // transaction is open there.
    if (request->m_bound && request->m_bound->m_home)
    {
        m_router.submit(request);
        return;
    }
    group(request->m_route->m_group).submit(request);
}

void traffic::refused_locally(std::string const& id,
                              std::string const& database,
                              state::statement_failure const& failure)
{
    m_observer.refused_locally(id, database, failure);
}

void traffic::sweep()
{
    auto const now = state::clock::now();
    close_unread_sessions(now);
    if (m_view)
    {
        auto const limit = m_view->m_configuration->m_transaction_idle_timeout;
        for (auto const& entry : m_sessions)
        {
            entry.second->end_overdue_transaction(limit, now);
        }
    }
    for (auto const& entry : m_groups)
    {
        entry.second->sweep();
    }
    m_router.sweep(now);
    m_allowances.sweep(now);
    if (m_on_stopped)
    {
        continue_stop(now);
    }
    m_sweep_timer.expires_after(sweep_interval);
    m_sweep_timer.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                sweep();
            }
        });
}

void traffic::close_unread_sessions(state::time_point now)
{
    std::vector<std::shared_ptr<caller_session>> unread;
    for (auto const& entry : m_sessions)
    {
        if (entry.second->is_unread(now))
        {
            unread.push_back(entry.second);
        }
    }
    for (auto const& session : unread)
    {
        session->close_unread();
    }
}

void traffic::stop(stop_times times, std::function<void()> stopped)
{
    m_stop = times;
    m_stop_started = state::clock::now();
    m_on_stopped = std::move(stopped);
    m_home_server.announce_leaving();
}

void traffic::continue_stop(state::time_point now)
{
    auto const passed = now - m_stop_started;
    if (passed < m_stop.m_accept)
    {
        return;
    }
    auto const sessions = m_sessions;
    for (auto const& entry : sessions)
    {
        if (passed >= m_stop.m_transactions)
        {
            entry.second->end_transaction();
        }
        entry.second->close_if_idle(now);
    }
    if ((m_sessions.empty() && m_home_server.idle()) || passed >= m_stop.m_end)
    {
        error_code ignored; // the acceptor is closed in any case
        m_acceptor->close(ignored);
        std::exchange(m_on_stopped, nullptr)();
    }
}

std::map<std::string, read_counts> traffic::reads() const
{
    std::map<std::string, read_counts> all;
    for (auto const& entry : m_groups)
    {
        all.emplace(entry.first, entry.second->reads());
    }
    return all;
}

std::vector<member_gauge> traffic::gauges() const
{
    std::vector<member_gauge> all;
    for (auto const& entry : m_groups)
    {
        auto const some = entry.second->gauges();
        all.insert(all.end(), some.begin(), some.end());
    }
    return all;
}

} // namespace camphortide::proxy
