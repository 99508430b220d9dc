#include <doctest/doctest.h>

#include <camphortide/coordination/session/connection_layout.hpp>

namespace coordination = camphortide::coordination;
using coordination::connection_layout;
using coordination::layout_command;
using coordination::prepared_shape;
using coordination::session_values;

TEST_CASE("only what differs is laid on a connection")
{
    connection_layout layout;
    session_values const values{{"a", "1"}, {"b", "2"}};
    CHECK(layout.distance_to(values) == connection_layout::distance::adds);
    CHECK(layout.lay(values, std::nullopt).size() == 2);
    CHECK(layout.distance_to(values) == connection_layout::distance::same);
    CHECK(layout.lay(values, std::nullopt).empty());
    auto const changed = layout.lay({{"a", "1"}, {"b", "3"}}, std::nullopt);
    REQUIRE(changed.size() == 1);
    CHECK(changed[0] ==
          layout_command{layout_command::kind::set_value, "b", "3", false});
}

TEST_CASE("a value that the next session doesn't have resets the connection")
{
    connection_layout layout;
    prepared_shape const shape{false, "q2"};
    layout.lay({{"a", "1"}}, shape);
    CHECK(layout.distance_to({}) == connection_layout::distance::resets);
    auto const commands = layout.lay({{"b", "1"}}, shape);
    REQUIRE(commands.size() == 3);
    CHECK(commands[0].m_kind == layout_command::kind::reset);
    CHECK(commands[1].m_name == "b");
    // The reset forgot the prepared statement, too.
    CHECK(commands[2].m_kind == layout_command::kind::prepare);
}

TEST_CASE("sessions share prepared statements by their shape")
{
    connection_layout layout;
    prepared_shape const reads{false, "q2"};
    prepared_shape const writes{true, "q2"};
    CHECK(layout.lay({}, reads).size() == 1);
    CHECK(layout.lay({}, reads).empty());
    CHECK(layout.lay({}, writes).size() == 1);
    CHECK_FALSE(layout.name_of(reads).empty());
    CHECK(layout.name_of(reads) != layout.name_of(writes));
    CHECK(layout.name_of({false, "other"}).empty());
}

TEST_CASE("a connection holds a bounded number of prepared statements")
{
    connection_layout layout;
    for (std::size_t i = 0; i < connection_layout::max_prepared; ++i)
    {
        layout.lay({}, prepared_shape{false, std::to_string(i)});
    }
    auto const commands = layout.lay({}, prepared_shape{false, "more"});
    REQUIRE(commands.size() == 2);
    CHECK(commands[0].m_kind == layout_command::kind::reset);
    CHECK(layout.name_of({false, "0"}).empty());
    CHECK_FALSE(layout.name_of({false, "more"}).empty());
}
