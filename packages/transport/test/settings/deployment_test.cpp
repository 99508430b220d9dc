#include <algorithm>

#include <doctest/doctest.h>

#include <camphortide/state/catalogue_validation.hpp>
#include <camphortide/transport/settings/catalogue_file.hpp>
#include <camphortide/transport/settings/deployment_file.hpp>

namespace state = camphortide::state;
namespace transport = camphortide::transport;
using transport::setting_error_kind;

namespace
{

bool has(std::vector<transport::setting_error> const& errors,
         std::string const& path, setting_error_kind kind)
{
    return std::any_of(errors.begin(), errors.end(),
                       [&](transport::setting_error const& each) {
                           return each.m_key_path == path &&
                                  each.m_kind == kind;
                       });
}

std::vector<transport::deployed_member>
addresses(transport::deployment const& value)
{
    std::vector<transport::deployed_member> all;
    for (auto const& group : value.m_groups)
    {
        for (auto const& member : group.m_members)
        {
            all.push_back({member.m_name, "127.0.0.1:7500"});
        }
    }
    return all;
}

std::string const hash(64, '0');
std::string const group = R"("groups": [{"name": "g", "connections": 8,
    "slots": 2, "members": [
      {"name": "a", "address": "127.0.0.1:1", "data_centre": "x"},
      {"name": "b", "address": "127.0.0.1:2", "data_centre": "x"},
      {"name": "c", "address": "127.0.0.1:3", "data_centre": "x"}]}])";

std::string entry(std::string const& name, std::string const& rest)
{
    return R"({"name": ")" + name + R"(", "customer": "o", "class": "c",
      "group": "g", "credential_hash": ")" +
           hash + "\"" + rest + "}";
}

transport::checked<state::catalogue> parse(std::string const& entries)
{
    return transport::parse_catalogue(
        "c.jsonc", "{" + group + ", \"entries\": [" + entries + "]}");
}

/// @param list the key of the list of customers
/// @param fields of the only entry, besides name, class and groups
std::string deployment_text(std::string const& list, std::string const& fields)
{
    return R"({"name": "n", "region": "r", "data_centres": ["x"],
      "instances": [{"name": "i", "data_centre": "x"}],
      "groups": [{"name": "g", "slots": 1, "connections": 1,
                  "members": [{"name": "a", "data_centre": "x"}]}],
      ")" + list +
           R"(": [{"name": "o", "credential": "s"}],
      "entries": [{"name": "e", "class": "c", "groups": ["g"], )" +
           fields + "}]}";
}

} // namespace

TEST_CASE("the examples have the documented sizes")
{
    auto const toys =
        transport::read_deployment_file("examples/caxias-serrana.jsonc");
    for (auto const& error : toys.m_errors)
    {
        FAIL_CHECK(to_string(error));
    }
    REQUIRE(toys.ok());
    CHECK(toys.m_value.m_instances.size() == 8);
    CHECK(toys.m_value.m_groups.size() == 3);
    CHECK(toys.m_value.m_groups[2].m_slots == 2);
    CHECK(toys.m_value.m_groups[2].m_connections == 16);
    CHECK(toys.m_value.m_latency_to_clients.count() == 1000);

    auto const dealers =
        transport::read_deployment_file("examples/bajio.jsonc");
    for (auto const& error : dealers.m_errors)
    {
        FAIL_CHECK(to_string(error));
    }
    REQUIRE(dealers.ok());
    CHECK(dealers.m_value.m_data_centres.size() == 3);
    CHECK(dealers.m_value.m_groups[0].m_members.size() == 3);
    CHECK(dealers.m_value.m_groups[0].m_slots == 5);
    CHECK(dealers.m_value.m_groups[0].m_connections == 55);
    CHECK(dealers.m_value.m_latency_to_clients.count() == 3000);
}

TEST_CASE("a deployment gives a valid catalogue that survives a round trip")
{
    auto const toys =
        transport::read_deployment_file("examples/caxias-serrana.jsonc");
    auto const catalogue =
        transport::make_catalogue(toys.m_value, addresses(toys.m_value));
    CHECK(state::validate(catalogue).empty());
    REQUIRE(catalogue.entries().size() == 15);
    auto const* const pages = catalogue.find_entry("catalogue-pages.loans-2");
    REQUIRE(pages != nullptr);
    CHECK(pages->m_limits.m_age == state::duration(5000));

    auto const again =
        transport::parse_catalogue("x", transport::write_catalogue(catalogue));
    REQUIRE(again.ok());
    CHECK(again.m_value.entries() == catalogue.entries());
    CHECK(again.m_value.groups() == catalogue.groups());
    CHECK(again.m_value.version() == 1);
}

// Guards against rejecting deployment files of earlier versions.
TEST_CASE("a deployment with the former keys owners and owner is still read")
{
    auto const former = transport::parse_deployment(
        "d.jsonc", deployment_text("owners", R"("owner": "o")"));
    auto const present = transport::parse_deployment(
        "d.jsonc", deployment_text("customers", R"("customer": "o")"));
    REQUIRE(former.ok());
    REQUIRE(present.ok());
    CHECK(former.m_value == present.m_value);
    REQUIRE(former.m_value.m_customers.size() == 1);
    CHECK(former.m_value.m_customers[0].m_name == "o");
    CHECK(former.m_value.m_entries[0].m_customer == "o");
}

// Guards against silently preferring one of two contradicting values.
TEST_CASE("a key next to its former name is an error")
{
    auto const both = transport::parse_deployment(
        "d.jsonc",
        deployment_text("customers", R"("customer": "o", "owner": "p")"));
    CHECK(has(both.m_errors, "entries[0].owner",
              setting_error_kind::repeated_key));
    CHECK(both.m_errors.size() == 1);
    CHECK(has(parse(entry("e", R"(, "owner": "o")")).m_errors,
              "entries[0].owner", setting_error_kind::repeated_key));
}

// Guards against rejecting exported catalogues of earlier versions.
TEST_CASE("a catalogue with the former key owner is read, customer is written")
{
    auto former_text = entry("e", "");
    auto const key = former_text.find("\"customer\"");
    REQUIRE(key != std::string::npos);
    former_text.replace(key, std::string("\"customer\"").size(), "\"owner\"");
    auto const former = parse(former_text);
    REQUIRE(former.ok());
    CHECK(former.m_value.entries() == parse(entry("e", "")).m_value.entries());
    CHECK(former.m_value.entries().at(0).m_customer == "o");
    auto const written = transport::write_catalogue(former.m_value);
    CHECK(written.find("\"customer\": \"o\"") != std::string::npos);
    CHECK(written.find("owner") == std::string::npos);
}

// Guards against accepting an entry that belongs to nobody.
TEST_CASE("an entry with neither customer nor owner is an error")
{
    auto const none = transport::parse_deployment(
        "d.jsonc", deployment_text("customers", R"("limits": {})"));
    CHECK(has(none.m_errors, "entries[0].customer",
              setting_error_kind::missing_key));
}

TEST_CASE("unknown and duplicate names in a deployment are errors")
{
    auto const result = transport::parse_deployment("d.jsonc", R"({
      "name": "n", "region": "r", "data_centres": ["x"],
      "instances": [{"name": "i", "data_centre": "y"},
                    {"name": "i", "data_centre": "x"}],
      "groups": [{"name": "g", "slots": 1, "connections": 1,
                  "members": [{"name": "a", "data_centre": "z"},
                              {"name": "a", "data_centre": "x"}]}],
      "customers": [{"name": "o", "credential": "s"}],
      "entries": [{"name": "e", "customer": "p", "class": "c",
                   "groups": ["g", "h"]}],
      "traffic": [{"name": "t", "entry": "f", "kind": "read", "rate": 1,
                   "statements": ["get a", "get b"]}]})");
    auto const& errors = result.m_errors;
    CHECK(
        has(errors, "instances[0].data_centre", setting_error_kind::conflict));
    CHECK(has(errors, "instances[1].name", setting_error_kind::conflict));
    CHECK(has(errors, "groups[0].members[0].data_centre",
              setting_error_kind::conflict));
    CHECK(
        has(errors, "groups[0].members[1].name", setting_error_kind::conflict));
    CHECK(has(errors, "entries[0].customer", setting_error_kind::conflict));
    CHECK(has(errors, "entries[0].groups[1]", setting_error_kind::conflict));
    CHECK(has(errors, "traffic[0].entry", setting_error_kind::conflict));
    CHECK(has(errors, "traffic[0].statements", setting_error_kind::conflict));
    CHECK(errors.size() == 8);
}

TEST_CASE("errors in a catalogue file name the record")
{
    CHECK(parse(entry("e", "")).ok());
    auto const limits = parse(entry(
        "e", R"(, "limits": {"rate": 0, "deadline": 5, "age": "x", "z": 1})"));
    CHECK(has(limits.m_errors, "entries[0].limits.rate",
              setting_error_kind::out_of_range));
    CHECK(has(limits.m_errors, "entries[0].limits.deadline",
              setting_error_kind::wrong_unit));
    CHECK(has(limits.m_errors, "entries[0].limits.age",
              setting_error_kind::wrong_unit));
    CHECK(has(limits.m_errors, "entries[0].limits.z",
              setting_error_kind::unknown_key));
    CHECK(has(parse(entry("e", "") + "," + entry("e", "")).m_errors,
              "entries[0]", setting_error_kind::conflict));
    CHECK(has(parse(entry("e", R"(, "limits": {"connections": 9})")).m_errors,
              "entries[0]", setting_error_kind::conflict));
    CHECK(has(transport::read_catalogue_file("no/such").m_errors, "",
              setting_error_kind::unreadable_file));
}
