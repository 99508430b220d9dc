#include "latency_series.hpp"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace camphortide::benchmarks
{

void latency_series::record(time_point start, bool ok)
{
    std::chrono::duration<double, std::milli> const elapsed =
        time_point::clock::now() - start;
    {
        std::scoped_lock const lock(m_mutex);
        m_milliseconds.push_back(elapsed.count());
        m_failures += ok ? 0 : 1;
    }
    m_changed.notify_one();
}

void latency_series::wait_for(std::size_t count)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_milliseconds.size() >= count; });
}

std::string latency_series::summary() const
{
    std::scoped_lock const lock(m_mutex);
    auto sorted = m_milliseconds;
    std::ranges::sort(sorted);
    auto const quantile = [&](double fraction)
    {
        auto const last = static_cast<double>(sorted.size() - 1);
        return sorted[static_cast<std::size_t>(fraction * last)];
    };
    char text[160];
    std::snprintf(text, sizeof text,
                  "requests %zu failed %zu p50 %.3f ms p99 %.3f ms max %.3f ms",
                  sorted.size(), m_failures, quantile(0.5), quantile(0.99),
                  quantile(1.0));
    return text;
}

void run_open_loop(
    double per_second, std::size_t count,
    std::function<void(std::size_t, latency_series::time_point)> const& send)
{
    auto const interval =
        std::chrono::duration_cast<latency_series::time_point::duration>(
            std::chrono::duration<double>(1.0 / per_second));
    auto due = latency_series::time_point::clock::now();
    for (std::size_t i = 0; i < count; ++i)
    {
        std::this_thread::sleep_until(due);
        send(i, due);
        due += interval;
    }
}

} // namespace camphortide::benchmarks
