#include <algorithm>

#include <camphortide/transport/platform/backoff.hpp>

namespace camphortide::transport
{

backoff::backoff(state::duration first, state::duration most)
    : m_first(first),
      m_most(most),
      m_step(first)
{
}

state::duration backoff::next(std::uint64_t random)
{
    auto const half = m_step / 2;
    auto const choices =
        static_cast<std::uint64_t>((m_step - half).count()) + 1;
    auto const wait =
        half + state::duration(static_cast<std::int64_t>(random % choices));
    m_step = std::min(m_most, m_step * 2);
    return wait;
}

} // namespace camphortide::transport
