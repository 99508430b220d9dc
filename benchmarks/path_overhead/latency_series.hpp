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

/// Collects the latencies of requests that complete on other threads.
class latency_series
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Records the completion of a request.
    /// @param start scheduled start time
    /// @param ok false if the request failed
    void record(time_point start, bool ok);

    /// Waits until a number of requests has completed.
    void wait_for(std::size_t count);

    /// @return a line with the count, failures and quantiles in milliseconds
    std::string summary() const;

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<double> m_milliseconds;
    std::size_t m_failures = 0;
};

/// Starts requests at fixed intervals, even while earlier ones are in flight.
/// @param per_second rate of requests
/// @param count number of requests
/// @param send starts a request, given its number and its scheduled start time
void run_open_loop(
    double per_second, std::size_t count,
    std::function<void(std::size_t, latency_series::time_point)> const& send);

} // namespace camphortide::benchmarks
