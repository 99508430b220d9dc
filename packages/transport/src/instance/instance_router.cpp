#include <algorithm>
#include <utility>

#include <camphortide/transport/instance/instance_router.hpp>

namespace camphortide::transport
{

namespace
{

/// Time that a read waits for one home before it is retried at another.
constexpr state::duration read_attempt_timeout{300};
/// Time that a write waits for one home before its request key is resolved at
/// another.
constexpr state::duration write_attempt_timeout{1000};
/// Wait before the homes of a group are attempted again.
constexpr state::duration retry_interval{20};
constexpr state::duration retry_hint{100};
/// Time for which an unresponsive home is skipped; after it, one request per
/// cooldown is sent to the home.
constexpr state::duration cooldown_time{2000};
/// The maximum number of times that instances that are not a home may forward a
/// request.
constexpr std::uint32_t max_hops = 2;

bool belongs_to_transaction(request_kind kind)
{
    return kind == request_kind::execute || kind == request_kind::commit ||
           kind == request_kind::roll_back || kind == request_kind::leave;
}

/// @return true if the home has not started the request, since it is not a home
///     of the group or is draining
bool refused_before_start(group_reply const& reply)
{
    return reply.m_outcome == state::outcome::not_executed &&
           (reply.m_reason == state::reason::no_home ||
            reply.m_reason == state::reason::draining);
}

/// @return true if the home stops before it knows the outcome; another home can
///     resolve the request key
bool left_outcome_unknown(group_reply const& reply)
{
    return reply.m_outcome == state::outcome::unknown &&
           (reply.m_reason == state::reason::no_home ||
            reply.m_reason == state::reason::draining);
}

/// @return true if the home refused the request because of a limit, before it
///     started; another home may hold a larger share of the limit
bool refused_by_limit(group_reply const& reply)
{
    return reply.m_outcome == state::outcome::not_executed &&
           (reply.m_reason == state::reason::rate_limit ||
            reply.m_reason == state::reason::concurrency_limit);
}

/// Adds the time since the request was forwarded to the age of the data in a
/// reply.
/// @param forwarded_at when the request was forwarded; nothing if it was not
/// @return true if the data is now older than the request allows
bool add_transit_time(group_reply& reply,
                      std::optional<state::time_point> const& forwarded_at,
                      group_request const& request)
{
    if (!forwarded_at || !reply.m_age ||
        reply.m_outcome != state::outcome::executed)
    {
        return false;
    }
    *reply.m_age += state::clock::now() - *forwarded_at;
    return request.m_max_age && *reply.m_age > *request.m_max_age;
}

} // namespace

instance_router::instance_router(std::string self, home_registry const& homes,
                                 forward_client& client)
    : m_self(std::move(self)),
      m_homes(homes),
      m_client(client)
{
}

void instance_router::submit(group_request request, reply_handler done)
{
    auto const routed = std::make_shared<routed_request>();
    routed->m_request = std::move(request);
    routed->m_done = std::move(done);
    route(routed);
}

void instance_router::serve_forwarded(group_request request, reply_handler done)
{
    auto const gateway = find(request);
    if (gateway)
    {
        gateway->submit(std::move(request), std::move(done));
        return;
    }
    bool const forwardable = request.m_hops + 1 < max_hops &&
                             !belongs_to_transaction(request.m_kind) &&
                             request.m_kind != request_kind::begin;
    if (!forwardable)
    {
        done(
            failed_reply(state::outcome::not_executed, state::reason::no_home));
        return;
    }
    ++request.m_hops;
    submit(std::move(request), std::move(done));
}

std::shared_ptr<group_gateway>
instance_router::find(group_request const& request) const
{
    return belongs_to_transaction(request.m_kind)
               ? m_homes.find_for_transaction(request.m_group)
               : m_homes.find(request.m_group);
}

void instance_router::route(routed_request_ptr const& routed)
{
    auto const home = choose_home(*routed);
    if (home.empty())
    {
        enqueue_retry(routed);
        return;
    }
    routed->m_forwarded_at.reset();
    if (home != m_self)
    {
        forward(routed, home);
        return;
    }
    auto const gateway = find(routed->m_request);
    if (!gateway)
    {
        try_next_home(routed);
        return;
    }
    gateway->submit(routed->m_request,
                    [this, routed](group_reply reply)
                    {
                        reply.m_home = m_self;
                        on_reply(routed, m_self, forward_result::replied,
                                 std::move(reply));
                    });
}

std::vector<std::string>
instance_router::candidates(routed_request const& routed) const
{
    auto const& request = routed.m_request;
    if (belongs_to_transaction(request.m_kind))
    {
        return {request.m_home};
    }
    auto homes = m_homes.homes_of(request.m_group);
    std::erase(homes, m_self);
    if (m_homes.find(request.m_group))
    {
        homes.insert(homes.begin(), m_self);
    }
    std::erase_if(
        homes, [&routed](std::string const& home)
        { return std::ranges::count(routed.m_attempted_homes, home) > 0; });
    return homes;
}

std::string instance_router::choose_home(routed_request const& routed)
{
    auto const homes = candidates(routed);
    auto const found = std::ranges::find_if(homes, [this](auto const& home)
                                            { return !is_in_cooldown(home); });
    if (found != homes.end())
    {
        return *found;
    }
    return homes.empty() ? std::string() : homes.front();
}

bool instance_router::is_in_cooldown(std::string const& home)
{
    auto const now = state::clock::now();
    std::scoped_lock const lock(m_mutex);
    auto const found = m_cooldowns.find(home);
    if (found == m_cooldowns.end())
    {
        return false;
    }
    if (now < found->second)
    {
        return true;
    }
    found->second = now + cooldown_time;
    return false;
}

void instance_router::record_result(std::string const& home,
                                    forward_result result)
{
    std::scoped_lock const lock(m_mutex);
    if (result == forward_result::replied)
    {
        m_cooldowns.erase(home);
        return;
    }
    m_cooldowns[home] = state::clock::now() + cooldown_time;
}

void instance_router::forward(routed_request_ptr const& routed,
                              std::string const& home)
{
    auto const now = state::clock::now();
    bool const is_read = routed->m_request.m_kind == request_kind::read;
    auto const attempt_timeout =
        is_read ? read_attempt_timeout : write_attempt_timeout;
    auto const reply_deadline =
        std::min(routed->m_request.m_deadline, now + attempt_timeout);
    routed->m_forwarded_at = now;
    m_client.forward(
        home, routed->m_request, reply_deadline,
        [this, routed, home](forward_result result, group_reply reply)
        {
            reply.m_home = home;
            record_result(home, result);
            on_reply(routed, home, result, std::move(reply));
        });
}

void instance_router::on_reply(routed_request_ptr const& routed,
                               std::string const& home, forward_result result,
                               group_reply reply)
{
    if (result == forward_result::replied && left_outcome_unknown(reply))
    {
        result = forward_result::unresponsive;
    }
    bool const too_old =
        result == forward_result::replied &&
        add_transit_time(reply, routed->m_forwarded_at, routed->m_request);
    bool const retry_for_share = result == forward_result::replied &&
                                 refused_by_limit(reply) &&
                                 may_retry_for_share(*routed, home);
    if (result == forward_result::replied && !refused_before_start(reply) &&
        !too_old && !retry_for_share)
    {
        bool const unproven =
            routed->m_may_have_run &&
            routed->m_request.m_kind == request_kind::resolve &&
            reply.m_outcome == state::outcome::not_executed &&
            reply.m_reason != state::reason::key_barred;
        if (unproven)
        {
            reply.m_outcome = state::outcome::unknown;
        }
        routed->m_done(std::move(reply));
        return;
    }
    routed->m_attempted_homes.push_back(home);
    routed->m_retried_for_share =
        routed->m_retried_for_share || retry_for_share;
    if (result != forward_result::unresponsive || too_old)
    {
        try_next_home(routed);
        return;
    }
    auto& request = routed->m_request;
    if (belongs_to_transaction(request.m_kind) &&
        request.m_kind != request_kind::commit)
    {
        fail(routed, state::outcome::not_executed,
             state::reason::transaction_lost);
        return;
    }
    if (request.m_kind != request_kind::read &&
        request.m_kind != request_kind::begin)
    {
        routed->m_may_have_run = true;
        request.m_kind = request_kind::resolve;
    }
    try_next_home(routed);
}

bool instance_router::may_retry_for_share(routed_request const& routed,
                                          std::string const& home) const
{
    auto homes = candidates(routed);
    std::erase(homes, home);
    return !routed.m_retried_for_share && !homes.empty() &&
           !belongs_to_transaction(routed.m_request.m_kind);
}

void instance_router::try_next_home(routed_request_ptr const& routed)
{
    if (routed->m_request.m_deadline <= state::clock::now())
    {
        fail(routed,
             routed->m_may_have_run ? state::outcome::unknown
                                    : state::outcome::not_executed,
             state::reason::deadline_exceeded);
        return;
    }
    if (belongs_to_transaction(routed->m_request.m_kind))
    {
        fail(routed, state::outcome::not_executed,
             state::reason::transaction_lost);
        return;
    }
    enqueue_retry(routed);
}

void instance_router::enqueue_retry(routed_request_ptr const& routed)
{
    auto const now = state::clock::now();
    routed->m_retry_at =
        candidates(*routed).empty() ? now + retry_interval : now;
    std::scoped_lock const lock(m_mutex);
    m_retry_queue.push_back(routed);
}

void instance_router::fail(routed_request_ptr const& routed,
                           state::outcome outcome, state::reason why)
{
    routed->m_done(failed_reply(outcome, why, retry_hint));
}

void instance_router::tick(state::time_point now)
{
    std::deque<routed_request_ptr> due;
    {
        std::scoped_lock const lock(m_mutex);
        due.swap(m_retry_queue);
    }
    for (auto const& routed : due)
    {
        if (routed->m_request.m_deadline <= now)
        {
            fail(routed,
                 routed->m_may_have_run ? state::outcome::unknown
                                        : state::outcome::not_executed,
                 state::reason::no_home);
            continue;
        }
        if (routed->m_retry_at > now)
        {
            std::scoped_lock const lock(m_mutex);
            m_retry_queue.push_back(routed);
            continue;
        }
        if (candidates(*routed).empty())
        {
            routed->m_attempted_homes.clear();
        }
        route(routed);
    }
}

} // namespace camphortide::transport
