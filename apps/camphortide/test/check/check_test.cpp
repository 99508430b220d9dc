#include "command_table.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

using namespace camphortide::command_line;

namespace
{

/// The exit code and the output of a run of the command line.
struct run_result
{
    exit_code m_code;
    std::string m_out;
    std::string m_error;
};

run_result run(arguments const& args)
{
    std::ostringstream out;
    std::ostringstream error;
    auto const code = run_command(args, {out, error});
    return {code, out.str(), error.str()};
}

/// A file that is removed by the destructor.
class temporary_file
{
public:
    temporary_file(std::string path, std::string const& text)
        : m_path(std::move(path))
    {
        std::ofstream(m_path) << text;
    }
    ~temporary_file() { std::remove(m_path.c_str()); }
    temporary_file(temporary_file const&) = delete;
    temporary_file& operator=(temporary_file const&) = delete;

private:
    std::string m_path;
};

} // namespace

TEST_CASE("the command line prints help and rejects unknown arguments")
{
    CHECK(run({"--help"}).m_code == exit_code::done);
    CHECK(run({"--help"}).m_out.find("status") != std::string::npos);
    CHECK(run({}).m_code == exit_code::usage);
    CHECK(run({"nonsense"}).m_code == exit_code::usage);
    for (std::string const name : {"check", "status"})
    {
        auto const help = run({name, "--help"});
        CHECK(help.m_code == exit_code::done);
        CHECK(help.m_out.find("Usage: camphortide " + name) == 0);
        CHECK(run({name, "--nonsense"}).m_code == exit_code::usage);
    }
}

TEST_CASE("every subcommand prints help")
{
    std::vector<arguments> const commands{{"catalogue"},
                                          {"catalogue", "get"},
                                          {"catalogue", "diff"},
                                          {"catalogue", "apply"},
                                          {"catalogue", "resolve"},
                                          {"catalogue", "history"},
                                          {"stop"},
                                          {"stop", "plan"},
                                          {"stop", "list"},
                                          {"stop", "cancel"}};
    for (auto args : commands)
    {
        std::string usage = "Usage: camphortide";
        for (auto const& arg : args)
        {
            usage += " " + arg;
        }
        auto wrong = args;
        args.emplace_back("--help");
        wrong.emplace_back("--nonsense");
        CHECK(run(args).m_code == exit_code::done);
        CHECK(run(args).m_out.rfind(usage, 0) == 0);
        CHECK(run(wrong).m_code == exit_code::usage);
    }
}

TEST_CASE("check accepts the examples and prints their kind")
{
    auto const result =
        run({"check", "examples/caxias-serrana.jsonc", "examples/bajio.jsonc"});
    CHECK(result.m_code == exit_code::done);
    CHECK(result.m_error.empty());
    CHECK(result.m_out.find("examples/bajio.jsonc: valid deployment file\n") !=
          std::string::npos);
}

TEST_CASE("check prints the errors of every file")
{
    temporary_file const settings("check_test_settings.jsonc",
                                  R"({"platform": {"address": 1}, "x": 2})");
    temporary_file const other("check_test_other.jsonc", R"({"y": 1})");
    auto const result =
        run({"check", "no/such/file", "check_test_settings.jsonc",
             "check_test_other.jsonc", "examples/bajio.jsonc"});
    CHECK(result.m_code == exit_code::refused);
    CHECK(result.m_error.find("no/such/file: unreadable file") !=
          std::string::npos);
    CHECK(result.m_error.find("check_test_settings.jsonc: platform.address: "
                              "wrong type") != std::string::npos);
    CHECK(result.m_error.find("check_test_settings.jsonc: x: unknown key") !=
          std::string::npos);
    CHECK(result.m_error.find("check_test_other.jsonc: missing key") !=
          std::string::npos);
    CHECK(result.m_out.find("examples/bajio.jsonc: valid") !=
          std::string::npos);
    CHECK(run({"check"}).m_code == exit_code::usage);
}

TEST_CASE("check prints the settings reference")
{
    std::ifstream stream("docs/operators/settings.md");
    std::stringstream page;
    page << stream.rdbuf();
    CHECK(run({"check", "--reference"}).m_out == page.str());
}
