#include <algorithm>
#include <utility>

#include <camphortide/proxy/allowance_service.hpp>

namespace camphortide::proxy
{

using coordination::allowance_decision;
using coordination::allowance_grant;
using coordination::allowance_request;
using coordination::allowance_result;

namespace
{

/// Timeout for an answer: above a round trip between regions, and a small part
/// of a caller's target latency.
constexpr state::duration answer_timeout{80};
/// An instance whose records are older than this may have been expelled without
/// knowing it, and acts as a backup only.
constexpr state::duration max_records_age{6000};
/// Customers that have metrics of their own.
constexpr std::size_t counted_customers = 10;

v1::Message encode(allowance_request const& request, std::string const& self)
{
    v1::Message message;
    auto& to = *message.mutable_allowance_request();
    to.set_requester(self);
    to.set_customer(request.m_customer);
    to.set_wanted(request.m_wanted);
    to.set_returned(request.m_returned);
    to.set_rate(request.m_rate);
    to.set_claim(request.m_claim);
    to.set_credit(request.m_credit);
    return message;
}

/// @return the request; numbers below zero count as zero
allowance_request decode_request(v1::AllowanceRequest const& message)
{
    allowance_request request;
    request.m_customer = message.customer();
    request.m_wanted = message.wanted();
    request.m_returned = message.returned();
    request.m_rate = std::max(0.0, message.rate());
    request.m_claim = std::max(0.0, message.claim());
    request.m_credit = std::max(0.0, message.credit());
    return request;
}

} // namespace

allowance_service::reply
allowance_service::decode(v1::AllowanceReply const& message)
{
    reply value;
    value.m_grant.m_granted = message.granted();
    value.m_grant.m_request_again = state::duration(message.request_again_ms());
    value.m_grant.m_retry_after = state::duration(message.retry_after_ms());
    value.m_grant.m_report = message.report();
    value.m_by_keeper = message.by_keeper();
    return value;
}

allowance_service::allowance_service(boost::asio::io_context& context,
                                     home_router& router)
    : m_context(context),
      m_router(router)
{
}

allowance_service::~allowance_service()
{
    *m_alive = false;
}

void allowance_service::apply(fleet_view const& view)
{
    auto const now = state::clock::now();
    m_configuration = view.m_configuration;
    m_records_verified_at = view.m_records_verified_at;
    if (!m_account)
    {
        m_self = view.m_instance;
        m_account = std::make_unique<coordination::allowance_account>(m_self);
        m_keeper = std::make_unique<coordination::allowance_keeper>(
            view.m_allowance, now);
    }
    if (view.m_instances)
    {
        bool const lost = m_order.set_instances(*view.m_instances);
        m_keeper->instances_changed(lost, view.m_young_share, now);
    }
}

state::operation_limit const*
allowance_service::limit_of(std::string const& customer) const
{
    if (!m_configuration || !m_configuration->m_customers)
    {
        return nullptr;
    }
    auto const* const found = m_configuration->m_customers->find(customer);
    return found != nullptr && found->m_limit ? &*found->m_limit : nullptr;
}

bool allowance_service::limits(std::string const& customer) const
{
    return !customer.empty() && limit_of(customer) != nullptr;
}

void allowance_service::acquire(std::string const& customer, handler done)
{
    auto const now = state::clock::now();
    auto const decision = m_account->take(customer, now);
    if (decision.m_result != allowance_result::waiting)
    {
        finish(customer, decision, done);
    }
    else
    {
        m_waiting[customer].push_back(std::move(done));
    }
    send_due_request(customer, now);
}

void allowance_service::finish(std::string const& customer,
                               allowance_decision const& decision,
                               handler const& done)
{
    auto& counts = m_counts[customer];
    counts.m_customer = customer;
    ++(decision.m_result == allowance_result::granted ? counts.m_granted
                                                      : counts.m_refused);
    done(decision);
}

void allowance_service::decide_waiting(std::string const& customer)
{
    auto const it = m_waiting.find(customer);
    if (it == m_waiting.end())
    {
        return;
    }
    auto const now = state::clock::now();
    auto const waiting = std::move(it->second);
    m_waiting.erase(it);
    for (auto const& done : waiting)
    {
        auto const decision = m_account->take(customer, now);
        if (decision.m_result == allowance_result::waiting)
        {
            m_waiting[customer].push_back(done);
            continue;
        }
        finish(customer, decision, done);
    }
    send_due_request(customer, now);
}

void allowance_service::send_due_request(std::string const& customer,
                                         state::time_point now)
{
    auto const waiting = m_waiting.find(customer);
    auto const request = m_account->request(
        customer, waiting == m_waiting.end() ? 0 : waiting->second.size(), now);
    if (request)
    {
        send(*request, 0);
    }
}

void allowance_service::send(allowance_request const& request,
                             std::size_t position)
{
    auto const& order = m_order.of(request.m_customer);
    if (position >= order.size())
    {
        m_account->unanswered(request, state::clock::now());
        decide_waiting(request.m_customer);
        return;
    }
    if (order[position].m_name == m_self)
    {
        auto const now = state::clock::now();
        answered(request, handle(m_self, request, now), now);
        return;
    }
    send_to(order[position], request, position);
}

void allowance_service::send_to(coordination::home_address const& home,
                                allowance_request const& request,
                                std::size_t position)
{
    auto const now = state::clock::now();
    auto const link = m_router.link_for_messages(home, now);
    if (!link)
    {
        try_next(request, position);
        return;
    }
    auto const over = std::make_shared<bool>(false);
    auto const timer = std::make_shared<boost::asio::steady_timer>(m_context);
    link->request_allowance(encode(request, m_self),
                            [this, request, position, now, over, timer,
                             alive = m_alive](v1::AllowanceReply const* message)
                            {
                                if (!*alive || std::exchange(*over, true))
                                {
                                    return;
                                }
                                timer->cancel();
                                if (message == nullptr)
                                {
                                    try_next(request, position);
                                    return;
                                }
                                answered(request, decode(*message), now);
                            });
    timer->expires_after(answer_timeout);
    timer->async_wait(
        [this, request, position, over, timer,
         alive = m_alive](boost::system::error_code error)
        {
            if (!error && *alive && !std::exchange(*over, true))
            {
                try_next(request, position);
            }
        });
}

void allowance_service::try_next(allowance_request const& request,
                                 std::size_t position)
{
    auto const now = state::clock::now();
    send(position == 0 ? m_account->keeper_unanswered(request, now) : request,
         position + 1);
}

void allowance_service::answered(allowance_request const& request,
                                 reply const& value, state::time_point sent)
{
    auto const now = state::clock::now();
    m_answered_at[request.m_customer] = now;
    m_account->answered(request.m_customer, value.m_grant, sent,
                        value.m_by_keeper, now);
    decide_waiting(request.m_customer);
}

bool allowance_service::is_keeper(std::string const& customer,
                                  state::time_point now)
{
    auto const& order = m_order.of(customer);
    return !order.empty() && order.front().m_name == m_self &&
           now - m_records_verified_at <= max_records_age;
}

allowance_service::reply
allowance_service::handle(std::string const& requester,
                          allowance_request const& request,
                          state::time_point now)
{
    reply result;
    auto const* const limit = limit_of(request.m_customer);
    if (limit == nullptr)
    {
        // This instance has a configuration in which the customer has no limit.
        result.m_grant.m_granted = request.m_wanted;
        return result;
    }
    result.m_by_keeper = is_keeper(request.m_customer, now);
    result.m_grant =
        m_keeper->handle(requester, request, *limit, result.m_by_keeper, now);
    announce_if_due(request.m_customer, now);
    return result;
}

void allowance_service::announce_if_due(std::string const& customer,
                                        state::time_point now)
{
    if (!m_keeper->must_announce(customer, now))
    {
        return;
    }
    v1::Message message;
    message.mutable_allowance_announcement()->set_customer(customer);
    auto const& order = m_order.of(customer);
    for (std::size_t i = 1; i < order.size(); ++i)
    {
        if (auto const link = m_router.link_for_messages(order[i], now))
        {
            link->send_message(message);
        }
    }
}

v1::Message allowance_service::answer(v1::AllowanceRequest const& message)
{
    auto const now = state::clock::now();
    v1::Message result;
    auto& to = *result.mutable_allowance_reply();
    to.set_number(message.number());
    if (!m_keeper || message.customer().empty())
    {
        return result;
    }
    auto const value =
        handle(message.requester(), decode_request(message), now);
    to.set_granted(value.m_grant.m_granted);
    to.set_request_again_ms(value.m_grant.m_request_again.count());
    to.set_retry_after_ms(value.m_grant.m_retry_after.count());
    to.set_report(value.m_grant.m_report);
    to.set_by_keeper(value.m_by_keeper);
    return result;
}

void allowance_service::note_announcement(
    v1::AllowanceAnnouncement const& message)
{
    if (m_keeper)
    {
        m_keeper->note_announcement(message.customer(), state::clock::now());
    }
}

void allowance_service::sweep(state::time_point now)
{
    if (!m_account || !m_configuration || !m_configuration->m_customers)
    {
        return;
    }
    m_account->sweep(now);
    m_keeper->sweep(now);
    for (auto const& customer : m_account->active_customers())
    {
        send_due_request(customer, now);
    }
    std::erase_if(
        m_answered_at, [this](auto const& entry)
        { return m_configuration->m_customers->find(entry.first) == nullptr; });
}

state::duration allowance_service::answer_age(std::string const& customer,
                                              state::time_point now) const
{
    auto const found = m_answered_at.find(customer);
    return found == m_answered_at.end() ? state::duration(-1)
                                        : now - found->second;
}

std::vector<allowance_counts> allowance_service::counts() const
{
    std::vector<allowance_counts> all;
    for (auto const& entry : m_counts)
    {
        all.push_back(entry.second);
    }
    auto const count = std::min(counted_customers, all.size());
    std::ranges::partial_sort(
        all, all.begin() + static_cast<std::ptrdiff_t>(count), std::greater<>(),
        [](auto const& each) { return each.m_granted + each.m_refused; });
    allowance_counts rest;
    for (std::size_t i = count; i < all.size(); ++i)
    {
        rest.m_granted += all[i].m_granted;
        rest.m_refused += all[i].m_refused;
    }
    all.resize(count);
    all.push_back(rest);
    return all;
}

} // namespace camphortide::proxy
