#include <doctest/doctest.h>

#include <camphortide/protocol/member_conversion.hpp>

namespace protocol = camphortide::protocol;
namespace state = camphortide::state;

TEST_CASE("a member status is unchanged after conversion to a message and back")
{
    state::member_status value;
    value.m_member = "a";
    value.m_role = state::member_role::replica;
    value.m_granted = state::term(9);
    value.m_followed = state::term(8);
    value.m_received = {state::term(8), 12};
    value.m_applied = {state::term(7), 10};
    value.m_history = state::term_history({{state::term(7), 1}});
    value.m_primary_silence = state::duration(40);
    value.m_leaving = true;
    value.m_connections = 3;
    value.m_connection_limit = 16;
    value.m_slots = 2;
    value.m_probe = 77;
    CHECK(protocol::from_proto(protocol::to_proto(value)) == value);
}
