#include "../support/command_fixture.hpp"

#include <doctest/doctest.h>

using camphortide::command_line::exit_code;

namespace
{

std::string const hash(64, '0');

/// Builds a catalogue file with one group and one entry.
std::string catalogue(int version, int rate, std::string const& more = {})
{
    return R"({"version": )" + std::to_string(version) +
           R"(, "groups": [{"name": "g", "connections": 16, "slots": 2,
      "members": [
        {"name": "a", "address": "127.0.0.1:1", "data_centre": "x"},
        {"name": "b", "address": "127.0.0.1:2", "data_centre": "x"},
        {"name": "c", "address": "127.0.0.1:3", "data_centre": "x"}]}],
    "entries": [{"name": "e", "customer": "o", "class": "c", "group": "g",
      "credential_hash": ")" +
           hash + R"(", "limits": {"rate": )" + std::to_string(rate) + "}}" +
           more + "]}";
}

std::string other_entry()
{
    return R"(, {"name": "f", "customer": "o", "class": "d", "group": "g",
      "credential_hash": ")" +
           hash + R"("})";
}

} // namespace

TEST_CASE_FIXTURE(command_fixture,
                  "a catalogue is applied, printed and its history listed")
{
    temporary_file const first("catalogue_test_a.jsonc", catalogue(0, 100));
    auto const applied = run(
        {"catalogue", "apply", "catalogue_test_a.jsonc", "--operator", "ana"});
    CHECK(applied.m_code == exit_code::done);
    CHECK(applied.prints("+ entry e"));
    CHECK(applied.prints("accepted as version 1"));

    auto const stored = run({"catalogue", "get"});
    CHECK(stored.m_code == exit_code::done);
    CHECK(stored.prints("\"rate\": 100"));
    temporary_file const same("catalogue_test_b.jsonc", stored.m_out);
    CHECK(run({"catalogue", "diff", "catalogue_test_b.jsonc"}).m_out.empty());
    CHECK(run({"catalogue", "apply", "catalogue_test_b.jsonc"})
              .prints("nothing to change"));

    temporary_file const second("catalogue_test_c.jsonc",
                                catalogue(1, 200, other_entry()));
    auto const difference =
        run({"catalogue", "diff", "catalogue_test_c.jsonc"});
    CHECK(difference.m_out == "~ entry e: rate\n+ entry f\n");
    CHECK(run({"catalogue", "apply", "catalogue_test_c.jsonc"}).m_code ==
          exit_code::done);
    auto const history = run({"catalogue", "history"});
    CHECK(history.prints("ana"));
    CHECK(history.prints("e f"));
}

TEST_CASE_FIXTURE(command_fixture,
                  "an outdated file does not revert a later change")
{
    temporary_file const first("catalogue_test_a.jsonc", catalogue(0, 100));
    temporary_file const mine("catalogue_test_b.jsonc", catalogue(1, 150));
    temporary_file const theirs("catalogue_test_c.jsonc", catalogue(1, 200));
    temporary_file const apart("catalogue_test_d.jsonc",
                               catalogue(1, 100, other_entry()));
    REQUIRE(run({"catalogue", "apply", "catalogue_test_a.jsonc"}).m_code ==
            exit_code::done);
    REQUIRE(run({"catalogue", "apply", "catalogue_test_c.jsonc", "--operator",
                 "bia"})
                .m_code == exit_code::done);

    auto const old = run({"catalogue", "apply", "catalogue_test_b.jsonc"});
    CHECK(old.m_code == exit_code::refused);
    CHECK(old.prints("made from version 1, the store has version 2"));

    auto const both = run({"catalogue", "apply", "catalogue_test_b.jsonc",
                           "--base", "catalogue_test_a.jsonc"});
    CHECK(both.m_code == exit_code::refused);
    CHECK(both.prints("e: changed first by bia in version 2: rate"));

    auto const other = run({"catalogue", "apply", "catalogue_test_d.jsonc",
                            "--base", "catalogue_test_a.jsonc"});
    CHECK(other.m_code == exit_code::done);
    CHECK(run({"catalogue", "get"}).prints("\"rate\": 200"));
}

TEST_CASE_FIXTURE(command_fixture, "a lost reply does not apply a change twice")
{
    temporary_file const first("catalogue_test_a.jsonc", catalogue(0, 100));
    m_platform.lose_replies(1);
    auto const applied = run({"catalogue", "apply", "catalogue_test_a.jsonc",
                              "--change", "change-1"});
    CHECK(applied.m_code == exit_code::done);
    CHECK(applied.prints("accepted as version 1"));
    auto const known = run({"catalogue", "resolve", "change-1"});
    CHECK(known.m_code == exit_code::done);
    CHECK(known.prints("accepted as version 1"));
    auto const unknown = run({"catalogue", "resolve", "change-2"});
    CHECK(unknown.m_code == exit_code::refused);
    CHECK(unknown.prints("barred"));
}

TEST_CASE_FIXTURE(command_fixture,
                  "invalid files and an unreachable store are refused")
{
    temporary_file const wrong("catalogue_test_a.jsonc",
                               catalogue(0, 100, ", {\"x\": 1}"));
    auto const invalid = run({"catalogue", "apply", "catalogue_test_a.jsonc"});
    CHECK(invalid.m_code == exit_code::refused);
    CHECK(invalid.prints("entries[1].x: unknown key"));
    CHECK(run({"catalogue", "get"}).prints("\"entries\": []"));
    CHECK(
        run({"catalogue", "apply", "no/such/file"}).prints("unreadable file"));
    CHECK(run({"catalogue", "apply"}).m_code == exit_code::usage);
    CHECK(run({"catalogue", "nonsense"}).m_code == exit_code::usage);

    m_platform.put("catalogue/head", 0, "\xff damaged");
    CHECK(run({"catalogue", "get"}).prints("damaged"));
    CHECK(run({"catalogue", "resolve", "x"}).prints("damaged"));
    m_platform.stop();
    auto const absent = run({"catalogue", "get"});
    CHECK(absent.m_code == exit_code::refused);
    CHECK(absent.prints("the platform at " + m_address + " did not serve"));
}

TEST_CASE_FIXTURE(command_fixture,
                  "waiting for a version times out if no instance replies")
{
    temporary_file const first("catalogue_test_a.jsonc", catalogue(0, 100));
    auto const applied =
        run({"catalogue", "apply", "catalogue_test_a.jsonc", "--wait",
             "--wait-time", "1", "--address", "127.0.0.1:1"});
    CHECK(applied.m_code == exit_code::refused);
    CHECK(applied.prints("accepted as version 1"));
    CHECK(applied.prints("not known to be in force everywhere"));
}
