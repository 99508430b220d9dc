#include <algorithm>

#include <camphortide/transport/platform/backoff.hpp>

namespace camphortide::transport
{

backoff::backoff(state::duration first_step, state::duration max_step)
    : m_first_step(first_step),
      m_max_step(max_step),
      m_step(first_step)
{
}

state::duration backoff::next(std::uint64_t random)
{
    auto const half = m_step / 2;
    auto const choices =
        static_cast<std::uint64_t>((m_step - half).count()) + 1;
    auto const wait =
        half + state::duration(static_cast<std::int64_t>(random % choices));
    m_step = std::min(m_max_step, m_step * 2);
    return wait;
}

} // namespace camphortide::transport
