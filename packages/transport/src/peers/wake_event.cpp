#include "wake_event.hpp"

#include <cstdint>
#include <system_error>

#include <sys/eventfd.h>
#include <unistd.h>

namespace camphortide::transport
{

wake_event::wake_event() : m_descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{
    if (m_descriptor < 0)
    {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

wake_event::~wake_event()
{
    close(m_descriptor);
}

void wake_event::set() const
{
    std::uint64_t const one = 1;
    // The write fails only if the counter is at its maximum; the descriptor is
    // readable then.
    [[maybe_unused]] auto const written = write(m_descriptor, &one, sizeof one);
}

void wake_event::clear() const
{
    std::uint64_t count = 0;
    [[maybe_unused]] auto const bytes_read =
        read(m_descriptor, &count, sizeof count);
}

} // namespace camphortide::transport
