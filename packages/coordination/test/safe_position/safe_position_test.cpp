#include <vector>

#include <doctest/doctest.h>

#include <camphortide/coordination/safe_position.hpp>

namespace state = camphortide::state;
using camphortide::coordination::safe_index;

namespace
{

state::member_status status(std::uint64_t granted, std::uint64_t record_term,
                            std::uint64_t index)
{
    state::member_status result;
    result.m_granted = state::term(granted);
    result.m_received = {state::term(record_term), index};
    return result;
}

} // namespace

TEST_CASE("a record on a majority in its own term is safe")
{
    std::vector const statuses{status(7, 7, 12), status(7, 7, 10),
                               status(7, 7, 3)};
    CHECK(safe_index(statuses, 3, state::term(7)) == 10);
}

TEST_CASE("a record of an older term is not safe by its copies alone")
{
    std::vector const statuses{status(7, 7, 12), status(7, 5, 11),
                               status(7, 5, 11)};
    CHECK(safe_index(statuses, 3, state::term(7)) == 0);
}

TEST_CASE("a member that granted a higher term does not count")
{
    std::vector const statuses{status(7, 7, 12), status(9, 7, 12)};
    CHECK(safe_index(statuses, 3, state::term(7)) == 0);
}
