#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The file that tells what was sent, answered and run, with the time in
/// seconds since the start.
class record
{
public:
    explicit record(std::string const& path);

    void note(std::string const& text);
    /// @return the time since the start
    milliseconds now() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

} // namespace review
