#include <fstream>
#include <string>

#include <unistd.h>

#include <camphortide/load/demo/memory_sample.hpp>

namespace camphortide::load
{

namespace
{

/// Strings up to this size are stored inside the string object.
constexpr std::size_t inline_string_capacity = 15;

std::uint64_t bytes_of(std::string const& value)
{
    return value.capacity() > inline_string_capacity ? value.capacity() + 1 : 0;
}

std::uint64_t bytes_of(std::vector<std::string> const& values)
{
    std::uint64_t sum = values.capacity() * sizeof(std::string);
    for (auto const& value : values)
    {
        sum += bytes_of(value);
    }
    return sum;
}

std::uint64_t bytes_of(request_record const& value)
{
    auto const& request = value.m_request;
    return sizeof(value) + bytes_of(request.m_traffic) +
           bytes_of(request.m_customer) + bytes_of(request.m_class_name) +
           bytes_of(request.m_entry) + bytes_of(request.m_group) +
           bytes_of(request.m_session) + bytes_of(request.m_statements) +
           bytes_of(value.m_key) + bytes_of(value.m_result) +
           bytes_of(value.m_results) + bytes_of(value.m_member) +
           bytes_of(value.m_instance);
}

std::uint64_t bytes_of(standin::record const& value)
{
    return sizeof(value) + bytes_of(value.m_key) +
           bytes_of(value.m_statements) + bytes_of(value.m_result);
}

} // namespace

std::uint64_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t all = 0;
    std::uint64_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

std::uint64_t retained_bytes(run_observations const& observed,
                             std::uint64_t members)
{
    std::uint64_t sum = 0;
    for (auto const& attempt : observed.m_history)
    {
        sum += bytes_of(attempt);
    }
    for (auto const& log : observed.m_group_logs)
    {
        for (auto const& record : log.records())
        {
            sum += members * bytes_of(record);
        }
    }
    return sum;
}

} // namespace camphortide::load
