#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <camphortide/transport/metrics/metrics_registry.hpp>
#include <camphortide/transport/metrics/metrics_text.hpp>

namespace transport = camphortide::transport;

namespace
{

constexpr int records_per_thread = 1000000;
constexpr int class_count = 16;

transport::request_sample sample(int number)
{
    transport::request_sample result;
    result.m_route = transport::request_route::replica;
    result.m_latency = transport::sample_time(0.3 + number % 40);
    result.m_queue_wait = transport::sample_time(number % 7);
    result.m_age = transport::sample_time(number % 100);
    return result;
}

std::string class_name(int number)
{
    return "class" + std::to_string(number);
}

double nanoseconds_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::nano>(
               std::chrono::steady_clock::now() - start)
        .count();
}

/// Prints the time of one record with concurrent threads.
void measure_records(unsigned threads)
{
    transport::metrics_registry registry;
    auto const start = std::chrono::steady_clock::now();
    std::vector<std::thread> running;
    running.reserve(threads);
    for (unsigned i = 0; i < threads; ++i)
    {
        running.emplace_back(
            [&registry]
            {
                auto& metrics = registry.find_or_create("customer", "class");
                for (int j = 0; j < records_per_thread; ++j)
                {
                    metrics.record(sample(j));
                }
            });
    }
    for (auto& thread : running)
    {
        thread.join();
    }
    std::printf("%2u threads, one class: %.0f ns per record and thread\n",
                threads, nanoseconds_since(start) / records_per_thread);
}

/// Prints the time of a look-up and a record with concurrent threads.
void measure_lookups(unsigned threads)
{
    transport::metrics_registry registry;
    auto const start = std::chrono::steady_clock::now();
    std::vector<std::thread> running;
    running.reserve(threads);
    for (unsigned i = 0; i < threads; ++i)
    {
        running.emplace_back(
            [&registry]
            {
                for (int j = 0; j < records_per_thread; ++j)
                {
                    registry.find_or_create("customer", "class")
                        .record(sample(j));
                }
            });
    }
    for (auto& thread : running)
    {
        thread.join();
    }
    std::printf("%2u threads, one class, looked up: %.0f ns per record and "
                "thread\n",
                threads, nanoseconds_since(start) / records_per_thread);
}

/// Prints the time of a look-up and a record among several classes, of a
/// snapshot and of formatting the metrics page.
void measure_lookup_and_snapshot()
{
    transport::metrics_registry registry;
    auto start = std::chrono::steady_clock::now();
    std::vector<std::string> names;
    names.reserve(class_count);
    for (int i = 0; i < class_count; ++i)
    {
        names.push_back(class_name(i));
    }
    for (int j = 0; j < records_per_thread; ++j)
    {
        auto const& name = names[static_cast<std::size_t>(j % class_count)];
        registry.find_or_create("customer", name).record(sample(j));
    }
    std::printf("look-up and record, %d classes: %.0f ns\n", class_count,
                nanoseconds_since(start) / records_per_thread);
    start = std::chrono::steady_clock::now();
    auto const snapshot = registry.snapshot();
    std::printf("snapshot: %.1f us\n", nanoseconds_since(start) / 1000);
    start = std::chrono::steady_clock::now();
    auto const page = transport::metrics_text(snapshot, {});
    std::printf("page: %.1f us, %zu bytes\n", nanoseconds_since(start) / 1000,
                page.size());
}

} // namespace

int main()
{
    for (unsigned const threads : {1U, 2U, 4U, 8U})
    {
        measure_records(threads);
        measure_lookups(threads);
    }
    measure_lookup_and_snapshot();
    return 0;
}
