#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <camphortide/transport/metrics/histogram_buckets.hpp>

namespace camphortide::transport
{

/// A Boost.Accumulators accumulator that counts samples per histogram bucket.
struct bucket_counts_accumulator : boost::accumulators::accumulator_base
{
    using result_type = histogram_counts const&;

    /// Creates an accumulator without samples.
    explicit bucket_counts_accumulator(boost::accumulators::dont_care) {}

    /// Adds a sample, in milliseconds.
    template <typename Args>
    void operator()(Args const& args)
    {
        m_counts[histogram_bucket(args[boost::accumulators::sample])] += 1;
    }

    /// @return the counts so far
    result_type result(boost::accumulators::dont_care) const
    {
        return m_counts;
    }

private:
    histogram_counts m_counts{};
};

/// The feature tag of bucket_counts_accumulator in Boost.Accumulators.
struct bucket_counts_tag : boost::accumulators::depends_on<>
{
    struct impl
    {
        template <typename Sample, typename Weight>
        struct apply
        {
            using type = bucket_counts_accumulator;
        };
    };
};

/// The accumulators of one quantity, in milliseconds. The results of several
/// sets can be added up.
using histogram_accumulator = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<
                boost::accumulators::tag::count, boost::accumulators::tag::sum,
                boost::accumulators::tag::max, bucket_counts_tag>>;

} // namespace camphortide::transport
