#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace camphortide::benchmarks
{

/// Collects the latencies of requests that end on other threads.
class latency_series
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Notes the end of a request.
    /// @param start when it was to begin
    void record(time_point start, bool ok);

    /// Waits until a number of requests has ended.
    void wait_for(std::size_t count);

    /// @return a line of count, failures and quantiles in milliseconds
    std::string summary() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<double> m_milliseconds;
    std::size_t m_failures = 0;
};

/// Starts requests at even intervals, whether or not earlier ones have ended.
/// @param per_second the rate
/// @param count how many
/// @param send starts one request, and notes its end in the series
void run_open_loop(
    double per_second, std::size_t count,
    std::function<void(std::size_t, latency_series::time_point)> const& send);

} // namespace camphortide::benchmarks
