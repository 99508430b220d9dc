#include <algorithm>
#include <utility>

#include <camphortide/coordination/fleet/rendezvous.hpp>
#include <camphortide/transport/gateway/group_core.hpp>

namespace camphortide::transport
{

member_link* group_core::primary()
{
    auto const index = primary_index();
    return index ? m_members[*index].get() : nullptr;
}

std::optional<std::size_t> group_core::primary_index() const
{
    if (!m_primary)
    {
        return std::nullopt;
    }
    for (std::size_t at = 0; at < m_members.size(); ++at)
    {
        if (m_members[at]->description().m_name == m_primary->m_member)
        {
            return at;
        }
    }
    return std::nullopt;
}

group_operation& group_core::add(group_request request, reply_handler done)
{
    auto const id = ++m_last_id;
    auto operation = std::make_unique<group_operation>();
    operation->m_id = id;
    operation->m_request = std::move(request);
    operation->m_done = std::move(done);
    operation->m_arrived = group_operation::steady_time::clock::now();
    return *m_operations.emplace(id, std::move(operation)).first->second;
}

group_operation* group_core::find(std::uint64_t id)
{
    auto const found = m_operations.find(id);
    return found == m_operations.end() ? nullptr : found->second.get();
}

void group_core::release_slot(std::uint64_t id,
                              std::optional<group_operation::steady_time> sent)
{
    std::optional<coordination::work> cost;
    if (sent)
    {
        cost = std::chrono::duration_cast<coordination::work>(
            group_operation::steady_time::clock::now() - *sent);
    }
    apply_admission_changes(m_admission.finished(id, cost, m_now));
}

void group_core::complete(group_operation& operation, group_reply reply)
{
    if (!operation.m_outstanding)
    {
        release_slot(operation.m_id, std::nullopt);
    }
    auto const found = m_operations.find(operation.m_id);
    m_completions.emplace_back([done = std::move(operation.m_done),
                                answer = std::move(reply)]() mutable
                               { done(std::move(answer)); });
    m_operations.erase(found);
}

void group_core::apply_admission_changes(
    coordination::admission_changes const& changes)
{
    m_admitted.insert(m_admitted.end(), changes.m_admitted.begin(),
                      changes.m_admitted.end());
    for (auto const& refused : changes.m_refused)
    {
        if (auto* const operation = find(refused.m_id))
        {
            complete(*operation,
                     failed_reply(state::outcome::not_executed,
                                  refused.m_reason, refused.m_retry_after));
        }
    }
}

std::vector<coordination::member_view> group_core::views() const
{
    std::vector<state::duration> latencies;
    latencies.reserve(m_members.size());
    state::duration sum{};
    for (auto const& member : m_members)
    {
        latencies.push_back(member->latency());
        sum += latencies.back();
    }
    auto const others = static_cast<std::int64_t>(
        std::max<std::size_t>(1, m_members.size() - 1));
    std::vector<coordination::member_view> result;
    result.reserve(m_members.size());
    for (std::size_t at = 0; at < m_members.size(); ++at)
    {
        auto const& member = m_members[at];
        result.push_back(member->view((sum - latencies[at]) / others, m_now));
        auto& view = result.back();
        bool const is_primary =
            m_primary && member->description().m_name == m_primary->m_member;
        if (view.m_role == state::member_role::primary && !is_primary)
        {
            view.m_role = state::member_role::unknown;
        }
    }
    return result;
}

std::uint64_t group_core::random()
{
    return coordination::mix(++m_random);
}

state::duration group_core::elapsed_since(group_operation::steady_time start)
{
    return std::chrono::duration_cast<state::duration>(
        group_operation::steady_time::clock::now() - start);
}

} // namespace camphortide::transport
