#include "record.hpp"

#include <iomanip>

namespace review
{

record::record(std::string const& path) : m_file(path) {}

milliseconds record::now() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - m_start);
}

void record::note(std::string const& text)
{
    std::scoped_lock const lock(m_mutex);
    m_file << std::fixed << std::setprecision(3)
           << static_cast<double>(now().count()) / 1000 << ' ' << text
           << std::endl;
}

} // namespace review
