#include <memory>
#include <mutex>
#include <utility>

#include <camphortide/transport/metrics/class_metrics.hpp>
#include <camphortide/transport/metrics/histogram_accumulator.hpp>

namespace camphortide::transport
{

namespace
{

constexpr std::size_t cache_line = 64; // bytes

/// Assigns consecutive numbers to threads, so that each always uses the same
/// shard.
std::size_t thread_number()
{
    static std::atomic<std::size_t> next{0};
    thread_local std::size_t const mine = next.fetch_add(1);
    return mine;
}

histogram_snapshot read(histogram_accumulator const& accumulator)
{
    namespace accumulators = boost::accumulators;
    histogram_snapshot result;
    result.m_count = accumulators::count(accumulator);
    if (result.m_count > 0)
    {
        result.m_sum = accumulators::sum(accumulator);
        result.m_max = accumulators::max(accumulator);
        result.m_buckets =
            accumulators::extract_result<bucket_counts_tag>(accumulator);
    }
    return result;
}

template <typename Counts>
void add(Counts& to, Counts const& from)
{
    for (std::size_t i = 0; i < to.size(); ++i)
    {
        to[i] += from[i];
    }
}

} // namespace

struct alignas(cache_line) class_metrics::shard
{
    mutable std::mutex m_mutex;
    histogram_accumulator m_latency;
    histogram_accumulator m_queue_wait;
    histogram_accumulator m_age;
    outcome_counts m_outcomes{};
    route_counts m_routes{};
};

class_metrics::class_metrics(std::string customer, std::string name)
    : m_customer(std::move(customer)),
      m_class(std::move(name))
{
}

class_metrics::~class_metrics()
{
    for (auto const& each : m_shards)
    {
        std::unique_ptr<shard> const owned(each.load());
    }
}

void class_metrics::record(request_sample const& sample)
{
    auto& mine = own_shard();
    std::scoped_lock const lock(mine.m_mutex);
    mine.m_latency(sample.m_latency.count());
    if (sample.m_queue_wait)
    {
        mine.m_queue_wait(sample.m_queue_wait->count());
    }
    if (sample.m_age)
    {
        mine.m_age(sample.m_age->count());
    }
    auto const outcome = static_cast<std::size_t>(sample.m_outcome);
    auto const reason = static_cast<std::size_t>(sample.m_reason);
    mine.m_outcomes.at(outcome).at(reason) += 1;
    mine.m_routes.at(static_cast<std::size_t>(sample.m_route)) += 1;
}

class_snapshot class_metrics::snapshot() const
{
    class_snapshot sum;
    sum.m_customer = m_customer;
    sum.m_class = m_class;
    for (auto const& each : m_shards)
    {
        auto const* const one = each.load(std::memory_order_acquire);
        if (one == nullptr)
        {
            continue;
        }
        std::scoped_lock const lock(one->m_mutex);
        sum.m_latency.add(read(one->m_latency));
        sum.m_queue_wait.add(read(one->m_queue_wait));
        sum.m_age.add(read(one->m_age));
        add(sum.m_routes, one->m_routes);
        for (std::size_t i = 0; i < sum.m_outcomes.size(); ++i)
        {
            add(sum.m_outcomes[i], one->m_outcomes[i]);
        }
    }
    return sum;
}

class_metrics::shard& class_metrics::own_shard()
{
    auto& pointer = m_shards[thread_number() % shard_count];
    auto* found = pointer.load(std::memory_order_acquire);
    if (found != nullptr)
    {
        return *found;
    }
    auto created = std::make_unique<shard>();
    if (pointer.compare_exchange_strong(found, created.get(),
                                        std::memory_order_acq_rel))
    {
        return *created.release();
    }
    return *found;
}

} // namespace camphortide::transport
