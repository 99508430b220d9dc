#include <algorithm>
#include <fstream>
#include <iterator>

#include <doctest/doctest.h>

#include <camphortide/transport/settings/settings_arguments.hpp>
#include <camphortide/transport/settings/settings_file.hpp>

namespace transport = camphortide::transport;
using transport::setting_error_kind;
using namespace std::chrono_literals;

namespace
{

std::string const key(64, 'a');
std::string const complete = R"({
  // comments are allowed
  "name": "entry-1", "data_centre": "sede-centro",
  "platform": {"address": "127.0.0.1:7300"},
  "session": {"token_keys": [")" +
                             key + R"("]})";

transport::checked<transport::instance_settings>
parse(std::string const& rest,
      std::vector<transport::setting_override> const& overrides = {})
{
    return transport::parse_instance_settings("x.jsonc", complete + rest + "}",
                                              overrides);
}

bool has(std::vector<transport::setting_error> const& errors,
         std::string const& path, setting_error_kind kind)
{
    return std::any_of(errors.begin(), errors.end(),
                       [&](transport::setting_error const& each) {
                           return each.m_key_path == path &&
                                  each.m_kind == kind;
                       });
}

} // namespace

TEST_CASE("a file with the required settings takes the defaults")
{
    auto const result = parse(R"(, "groups": {"probe_interval": "0.1 s"})");
    REQUIRE(result.ok());
    CHECK(result.m_value.m_name == "entry-1");
    CHECK(result.m_value.m_listen_peers == "127.0.0.1:7401");
    CHECK(result.m_value.m_homes_per_group == 2u);
    CHECK(result.m_value.m_probe_interval == 100ms);
}

TEST_CASE("all errors in a file are reported at once")
{
    auto const result = parse(R"(, "colour": 1,
      "listen": {"callers": 7400, "peers": "localhost:1", "other": true},
      "groups": {"homes": 0, "probe_interval": 20, "suspicion_timeout": "2 weeks"},
      "limits": {"message": "1 kB", "caller_connections": 1.5},
      "log": "none", "drain": {"time": "2 hours"},
      "peers": {"seeds": ["127.0.0.1:1", 2], "timeout": "10 min"})");
    auto const& errors = result.m_errors;
    CHECK(has(errors, "colour", setting_error_kind::unknown_key));
    CHECK(has(errors, "listen.callers", setting_error_kind::wrong_type));
    CHECK(has(errors, "listen.peers", setting_error_kind::bad_format));
    CHECK(has(errors, "listen.other", setting_error_kind::unknown_key));
    CHECK(has(errors, "groups.homes", setting_error_kind::out_of_range));
    CHECK(has(errors, "groups.probe_interval", setting_error_kind::wrong_unit));
    CHECK(has(errors, "groups.suspicion_timeout",
              setting_error_kind::wrong_unit));
    CHECK(has(errors, "limits.message", setting_error_kind::wrong_unit));
    CHECK(has(errors, "limits.caller_connections",
              setting_error_kind::wrong_type));
    CHECK(has(errors, "log", setting_error_kind::wrong_type));
    CHECK(has(errors, "drain.time", setting_error_kind::wrong_unit));
    CHECK(has(errors, "peers.seeds[1]", setting_error_kind::wrong_type));
    CHECK(has(errors, "peers.timeout", setting_error_kind::out_of_range));
    CHECK(errors.size() == 13);
    CHECK(to_string(errors.front()).rfind("x.jsonc: colour: unknown key", 0) ==
          0);
}

TEST_CASE("missing keys, repeated keys and unreadable files are errors")
{
    auto const empty = transport::parse_instance_settings("x", "{}", {});
    CHECK(has(empty.m_errors, "name", setting_error_kind::missing_key));
    CHECK(has(empty.m_errors, "session.token_keys",
              setting_error_kind::missing_key));
    CHECK(has(parse(R"(, "name": "b")").m_errors, "name",
              setting_error_kind::repeated_key));
    CHECK(has(transport::parse_instance_settings("x", "{\"a\": }", {}).m_errors,
              "", setting_error_kind::malformed_json));
    CHECK(has(transport::parse_instance_settings("x", "[1]", {}).m_errors, "",
              setting_error_kind::wrong_type));
    CHECK(has(transport::read_instance_settings("no/such/file", {}).m_errors,
              "", setting_error_kind::unreadable_file));
}

TEST_CASE("without keys an instance listens on loopback only, unless allowed")
{
    std::string const open = R"(, "listen": {"peers": "10.0.0.1:7401")";
    CHECK(has(parse(open + "}").m_errors, "listen.peers",
              setting_error_kind::conflict));
    CHECK(parse(open + R"(, "beyond_loopback": true})").ok());
    std::string const curve(40, 'k');
    CHECK(parse(open + R"(}, "curve": {"public_key": ")" + curve +
                R"(", "secret_key": ")" + curve + "\"}")
              .ok());
}

TEST_CASE("contradicting settings are rejected")
{
    CHECK(has(parse(R"(, "tls": {"certificate": "/no/such.pem"})").m_errors,
              "tls.key", setting_error_kind::conflict));
    CHECK(has(parse(R"(, "tls": {"certificate": "/no/such.pem"})").m_errors,
              "tls.certificate", setting_error_kind::unreadable_file));
    CHECK(has(parse(R"(, "listen": {"admin": "127.0.0.1:7400"})").m_errors,
              "listen.admin", setting_error_kind::conflict));
    CHECK(has(parse(R"(, "groups": {"probe_interval": "1 s"})").m_errors,
              "groups.suspicion_timeout", setting_error_kind::conflict));
}

TEST_CASE("errors never show a secret")
{
    struct wrong_value
    {
        std::string m_given;
        std::string m_path;
        setting_error_kind m_kind;
    };
    for (auto const& each :
         {wrong_value{"hunter2", "session.token_keys",
                      setting_error_kind::wrong_type},
          wrong_value{R"(["hunter2"])", "session.token_keys[0]",
                      setting_error_kind::bad_format}})
    {
        auto const result = parse("", {{"session.token_keys", each.m_given}});
        REQUIRE(has(result.m_errors, each.m_path, each.m_kind));
        CHECK(to_string(result.m_errors.front()).find("hunter2") ==
              std::string::npos);
    }
}

TEST_CASE("there must be one to eight keys of session tokens")
{
    auto const with = [](std::size_t count)
    {
        std::string list;
        for (std::size_t i = 0; i < count; ++i)
        {
            list += (i > 0 ? ", \"" : "\"") + key + "\"";
        }
        return parse("", {{"session.token_keys", "[" + list + "]"}});
    };
    CHECK(with(2).m_value.m_token_keys == std::vector<std::string>{key, key});
    for (std::size_t const count : {0U, 9U})
    {
        CHECK(has(with(count).m_errors, "session.token_keys",
                  setting_error_kind::out_of_range));
    }
}

TEST_CASE("the command line overrides the file and is named in errors")
{
    auto const arguments = transport::parse_settings_arguments(
        {"--settings", "f", "--set", "groups.homes=all", "--name", "entry-9",
         "--set", "drain.time=2 s"});
    CHECK(arguments.m_errors.empty());
    CHECK(arguments.m_settings_path == "f");
    auto const good = parse("", arguments.m_overrides);
    REQUIRE(good.ok());
    CHECK(good.m_value.m_name == "entry-9");
    CHECK(good.m_value.m_homes_per_group == std::nullopt);
    CHECK(good.m_value.m_drain_time == 2s);

    auto const bad = parse("", {{"log.level", "loud"}, {"no.such", "1"}});
    REQUIRE(bad.m_errors.size() == 2);
    CHECK(bad.m_errors[0].m_kind == setting_error_kind::unknown_key);
    CHECK(bad.m_errors[0].m_file == "command line");
    CHECK(bad.m_errors[1].m_kind == setting_error_kind::out_of_range);
    CHECK(bad.m_errors[1].m_file == "command line");
}

TEST_CASE("an invalid command line is an error")
{
    CHECK(transport::parse_settings_arguments({"--nonsense"}).m_errors.size() ==
          1);
    CHECK(transport::parse_settings_arguments({"--set", "x"}).m_errors.size() ==
          1);
    CHECK(transport::parse_settings_arguments({"stray"}).m_errors.size() == 1);
    CHECK(transport::parse_settings_arguments({"--help"}).m_help);
}

TEST_CASE("the settings reference in docs is up to date")
{
    std::ifstream stream("docs/operators/settings.md");
    std::string const page{std::istreambuf_iterator<char>(stream),
                           std::istreambuf_iterator<char>()};
    CHECK(page == transport::instance_settings_page());
}
