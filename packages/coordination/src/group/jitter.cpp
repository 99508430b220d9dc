#include <camphortide/coordination/group/jitter.hpp>

namespace camphortide::coordination
{

state::duration jitter::draw(state::duration limit)
{
    m_state += 0x9e3779b97f4a7c15U;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    mixed ^= mixed >> 31U;
    if (limit.count() <= 0)
    {
        return state::duration(0);
    }
    auto const range = static_cast<std::uint64_t>(limit.count()) + 1;
    return state::duration(static_cast<state::clock::rep>(mixed % range));
}

} // namespace camphortide::coordination
