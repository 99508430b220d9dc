#pragma once

#include "net.hpp"

#include <cstdio>
#include <fstream>
#include <iomanip>
#include <mutex>
#include <string>

namespace review
{

/// Writes what was sent, answered and run to record.txt, with the time in
/// seconds since the start.
class record_file
{
public:
    explicit record_file(std::string const& path) : m_file(path) {}

    void add(std::string const& text)
    {
        std::scoped_lock const lock(m_mutex);
        std::chrono::duration<double> const passed =
            clock_type::now() - m_start;
        m_file << std::fixed << std::setprecision(3) << passed.count() << ' '
               << text << std::endl;
    }

private:
    std::mutex m_mutex;
    clock_type::time_point m_start = clock_type::now();
    std::ofstream m_file;
};

} // namespace review
