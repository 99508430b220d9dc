#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <camphortide/load/history/request_record.hpp>

namespace camphortide::load
{

/// Generates the requests of a deployment's traffic: which session sends what,
/// and when. The same seed gives the same requests.
class request_source
{
public:
    /// @param value the deployment whose traffic is generated
    /// @param seed for every random choice
    /// @param run makes the rows and keys of this run unique
    request_source(transport::deployment const& value, std::uint64_t seed,
                   std::string run);

    /// @return true if the deployment has no traffic
    bool empty() const { return m_streams.empty(); }

    /// @return the next request, in the order of intended times
    planned_request next();

private:
    struct traffic_stream
    {
        transport::deployment_traffic m_traffic;
        transport::deployment_entry m_entry;
        std::mt19937_64 m_random;
        run_time m_next{0};
    };

    /// Session and row prefix.
    using last_item_key = std::pair<std::string, std::string>;

    static double uniform(std::mt19937_64& random);
    run_time interarrival_time(traffic_stream& from) const;
    std::uint32_t choose_item(traffic_stream& from, std::string const& session);
    std::string expand_placeholders(std::string text,
                                    std::string const& session,
                                    std::uint32_t item) const;

    std::string const m_run;
    std::vector<traffic_stream> m_streams;
    std::map<last_item_key, std::uint32_t> m_last_items;
    std::uint64_t m_count = 0;
};

} // namespace camphortide::load
