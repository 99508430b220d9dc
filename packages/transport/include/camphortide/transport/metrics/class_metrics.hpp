#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <string>

#include <camphortide/transport/metrics/metrics_snapshot.hpp>
#include <camphortide/transport/metrics/request_sample.hpp>

namespace camphortide::transport
{

/// The metrics of one traffic class of a customer. Thread-safe. Each thread
/// writes to its own shard as long as there are at most shard_count threads;
/// beyond that, threads share shards.
class class_metrics
{
public:
    static constexpr std::size_t shard_count = 8;

    /// @param customer the customer's name
    /// @param name the class's name
    class_metrics(std::string customer, std::string name);
    ~class_metrics();
    class_metrics(class_metrics const&) = delete;
    class_metrics& operator=(class_metrics const&) = delete;

    /// Records one request.
    void record(request_sample const& sample);

    /// @return the sum over all shards
    class_snapshot snapshot() const;

private:
    struct shard;

    shard& own_shard();

    std::string m_customer;
    std::string m_class;
    std::array<std::atomic<shard*>, shard_count> m_shards{};
};

} // namespace camphortide::transport
