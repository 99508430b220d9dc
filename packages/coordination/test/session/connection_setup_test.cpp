#include <doctest/doctest.h>

#include <camphortide/coordination/session/connection_setup.hpp>

namespace coordination = camphortide::coordination;
using coordination::connection_setup;
using coordination::prepared_shape;
using coordination::session_values;
using coordination::setup_command;

TEST_CASE("only differences are sent to a connection")
{
    connection_setup setup;
    session_values const values{{"a", "1"}, {"b", "2"}};
    CHECK(setup.distance_to(values) == connection_setup::distance::adds);
    CHECK(setup.prepare_for(values, std::nullopt).size() == 2);
    CHECK(setup.distance_to(values) == connection_setup::distance::same);
    CHECK(setup.prepare_for(values, std::nullopt).empty());
    auto const changed =
        setup.prepare_for({{"a", "1"}, {"b", "3"}}, std::nullopt);
    REQUIRE(changed.size() == 1);
    CHECK(changed[0] ==
          setup_command{setup_command::kind::set_value, "b", "3", false});
}

TEST_CASE("a value that the next session doesn't have resets the connection")
{
    connection_setup setup;
    prepared_shape const shape{false, "q2"};
    setup.prepare_for({{"a", "1"}}, shape);
    CHECK(setup.distance_to({}) == connection_setup::distance::resets);
    auto const commands = setup.prepare_for({{"b", "1"}}, shape);
    REQUIRE(commands.size() == 3);
    CHECK(commands[0].m_kind == setup_command::kind::reset);
    CHECK(commands[1].m_name == "b");
    // The reset discarded the prepared statement, too.
    CHECK(commands[2].m_kind == setup_command::kind::prepare);
}

TEST_CASE("sessions share prepared statements by their shape")
{
    connection_setup setup;
    prepared_shape const reads{false, "q2"};
    prepared_shape const writes{true, "q2"};
    CHECK(setup.prepare_for({}, reads).size() == 1);
    CHECK(setup.prepare_for({}, reads).empty());
    CHECK(setup.prepare_for({}, writes).size() == 1);
    CHECK_FALSE(setup.name_of(reads).empty());
    CHECK(setup.name_of(reads) != setup.name_of(writes));
    CHECK(setup.name_of({false, "other"}).empty());
}

TEST_CASE("the number of prepared statements on a connection is limited")
{
    connection_setup setup;
    for (std::size_t i = 0; i < connection_setup::max_prepared; ++i)
    {
        setup.prepare_for({}, prepared_shape{false, std::to_string(i)});
    }
    auto const commands = setup.prepare_for({}, prepared_shape{false, "more"});
    REQUIRE(commands.size() == 2);
    CHECK(commands[0].m_kind == setup_command::kind::reset);
    CHECK(setup.name_of({false, "0"}).empty());
    CHECK_FALSE(setup.name_of({false, "more"}).empty());
}
