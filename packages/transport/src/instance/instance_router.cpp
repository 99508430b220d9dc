#include <algorithm>
#include <utility>

#include <camphortide/transport/instance/instance_router.hpp>

namespace camphortide::transport
{

namespace
{

/// How long a read waits for one home before it goes to another.
constexpr state::duration read_patience{300};
/// How long a write waits for one home before its key is asked for elsewhere.
constexpr state::duration write_patience{1000};
/// Pause before the homes of a group are tried once more.
constexpr state::duration retry_pause{20};
constexpr state::duration retry_hint{100};
/// How long a home that was silent is left out, but for one request each time.
constexpr state::duration avoid_time{2000};
/// How often a request may be passed on by instances that are no home.
constexpr std::uint32_t most_hops = 2;

bool belongs_to_transaction(request_kind kind)
{
    return kind == request_kind::execute || kind == request_kind::commit ||
           kind == request_kind::roll_back || kind == request_kind::leave;
}

/// A home that says so has not begun to work on the request.
bool is_no_home(group_reply const& reply)
{
    return reply.m_outcome == state::outcome::not_executed &&
           (reply.m_reason == state::reason::no_home ||
            reply.m_reason == state::reason::draining);
}

/// A home that says so ends before it knows; another can ask for the key.
bool ends_unknowing(group_reply const& reply)
{
    return reply.m_outcome == state::outcome::unknown &&
           (reply.m_reason == state::reason::no_home ||
            reply.m_reason == state::reason::draining);
}

/// A home that says so has begun nothing; another may hold more of the limit.
bool lacks_share(group_reply const& reply)
{
    return reply.m_outcome == state::outcome::not_executed &&
           (reply.m_reason == state::reason::rate_limit ||
            reply.m_reason == state::reason::concurrency_limit);
}

/// Counts the way from a home into the age of an answer.
/// @param forwarded when the request was forwarded; nothing if it was not
/// @return true if the answer is older now than the request allows
bool add_way(group_reply& reply,
             std::optional<state::time_point> const& forwarded,
             group_request const& request)
{
    if (!forwarded || !reply.m_age ||
        reply.m_outcome != state::outcome::executed)
    {
        return false;
    }
    *reply.m_age += state::clock::now() - *forwarded;
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
    auto const on = std::make_shared<journey>();
    on->m_request = std::move(request);
    on->m_done = std::move(done);
    travel(on);
}

void instance_router::serve_forwarded(group_request request, reply_handler done)
{
    auto const gateway = find(request);
    if (gateway)
    {
        gateway->submit(std::move(request), std::move(done));
        return;
    }
    bool const passed_on = request.m_hops + 1 < most_hops &&
                           !belongs_to_transaction(request.m_kind) &&
                           request.m_kind != request_kind::begin;
    if (!passed_on)
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
               ? m_homes.find_open(request.m_group)
               : m_homes.find(request.m_group);
}

void instance_router::travel(journey_ptr const& on)
{
    auto const home = choose(*on);
    if (home.empty())
    {
        wait(on);
        return;
    }
    on->m_forwarded.reset();
    if (home != m_self)
    {
        forward(on, home);
        return;
    }
    auto const gateway = find(on->m_request);
    if (!gateway)
    {
        move_on(on);
        return;
    }
    gateway->submit(on->m_request,
                    [this, on](group_reply reply)
                    {
                        reply.m_home = m_self;
                        returned(on, m_self, forward_result::answered,
                                 std::move(reply));
                    });
}

std::vector<std::string> instance_router::candidates(journey const& on) const
{
    auto const& request = on.m_request;
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
    std::erase_if(homes, [&on](std::string const& home)
                  { return std::ranges::count(on.m_tried, home) > 0; });
    return homes;
}

std::string instance_router::choose(journey const& on)
{
    auto const homes = candidates(on);
    auto const found = std::ranges::find_if(homes, [this](auto const& home)
                                            { return !is_avoided(home); });
    if (found != homes.end())
    {
        return *found;
    }
    return homes.empty() ? std::string() : homes.front();
}

bool instance_router::is_avoided(std::string const& home)
{
    auto const now = state::clock::now();
    std::scoped_lock const lock(m_mutex);
    auto const found = m_silent.find(home);
    if (found == m_silent.end())
    {
        return false;
    }
    if (now < found->second)
    {
        return true;
    }
    found->second = now + avoid_time;
    return false;
}

void instance_router::note(std::string const& home, forward_result result)
{
    std::scoped_lock const lock(m_mutex);
    if (result == forward_result::answered)
    {
        m_silent.erase(home);
        return;
    }
    m_silent[home] = state::clock::now() + avoid_time;
}

void instance_router::forward(journey_ptr const& on, std::string const& home)
{
    auto const now = state::clock::now();
    bool const is_read = on->m_request.m_kind == request_kind::read;
    auto const patience = is_read ? read_patience : write_patience;
    auto const give_up = std::min(on->m_request.m_deadline, now + patience);
    on->m_forwarded = now;
    m_client.forward(home, on->m_request, give_up,
                     [this, on, home](forward_result result, group_reply reply)
                     {
                         reply.m_home = home;
                         note(home, result);
                         returned(on, home, result, std::move(reply));
                     });
}

void instance_router::returned(journey_ptr const& on, std::string const& home,
                               forward_result result, group_reply reply)
{
    if (result == forward_result::answered && ends_unknowing(reply))
    {
        result = forward_result::silent;
    }
    bool const outdated = result == forward_result::answered &&
                          add_way(reply, on->m_forwarded, on->m_request);
    bool const elsewhere = result == forward_result::answered &&
                           lacks_share(reply) && may_ask_another(*on, home);
    if (result == forward_result::answered && !is_no_home(reply) && !outdated &&
        !elsewhere)
    {
        bool const barred = on->m_may_have_run &&
                            on->m_request.m_kind == request_kind::resolve &&
                            reply.m_outcome == state::outcome::not_executed &&
                            reply.m_reason != state::reason::key_barred;
        if (barred)
        {
            reply.m_outcome = state::outcome::unknown;
        }
        on->m_done(std::move(reply));
        return;
    }
    on->m_tried.push_back(home);
    on->m_asked_for_share = on->m_asked_for_share || elsewhere;
    if (result != forward_result::silent || outdated)
    {
        move_on(on);
        return;
    }
    auto& request = on->m_request;
    if (belongs_to_transaction(request.m_kind) &&
        request.m_kind != request_kind::commit)
    {
        end(on, state::outcome::not_executed, state::reason::transaction_lost);
        return;
    }
    if (request.m_kind != request_kind::read &&
        request.m_kind != request_kind::begin)
    {
        on->m_may_have_run = true;
        request.m_kind = request_kind::resolve;
    }
    move_on(on);
}

bool instance_router::may_ask_another(journey const& on,
                                      std::string const& home) const
{
    auto homes = candidates(on);
    std::erase(homes, home);
    return !on.m_asked_for_share && !homes.empty() &&
           !belongs_to_transaction(on.m_request.m_kind);
}

void instance_router::move_on(journey_ptr const& on)
{
    if (on->m_request.m_deadline <= state::clock::now())
    {
        end(on,
            on->m_may_have_run ? state::outcome::unknown
                               : state::outcome::not_executed,
            state::reason::deadline_exceeded);
        return;
    }
    if (belongs_to_transaction(on->m_request.m_kind))
    {
        end(on, state::outcome::not_executed, state::reason::transaction_lost);
        return;
    }
    wait(on);
}

void instance_router::wait(journey_ptr const& on)
{
    auto const now = state::clock::now();
    on->m_retry_at = candidates(*on).empty() ? now + retry_pause : now;
    std::scoped_lock const lock(m_mutex);
    m_waiting.push_back(on);
}

void instance_router::end(journey_ptr const& on, state::outcome outcome,
                          state::reason why)
{
    on->m_done(failed_reply(outcome, why, retry_hint));
}

void instance_router::tick(state::time_point now)
{
    std::deque<journey_ptr> due;
    {
        std::scoped_lock const lock(m_mutex);
        due.swap(m_waiting);
    }
    for (auto const& on : due)
    {
        if (on->m_request.m_deadline <= now)
        {
            end(on,
                on->m_may_have_run ? state::outcome::unknown
                                   : state::outcome::not_executed,
                state::reason::no_home);
            continue;
        }
        if (on->m_retry_at > now)
        {
            std::scoped_lock const lock(m_mutex);
            m_waiting.push_back(on);
            continue;
        }
        if (candidates(*on).empty())
        {
            on->m_tried.clear();
        }
        travel(on);
    }
}

} // namespace camphortide::transport
