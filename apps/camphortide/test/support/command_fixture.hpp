#pragma once

#include "command_table.hpp"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>

#include <camphortide/standin/platform/platform_standin.hpp>

/// The exit code and the output of a run of the command line.
struct run_result
{
    camphortide::command_line::exit_code m_code;
    std::string m_out;
    std::string m_error;

    bool prints(std::string const& text) const
    {
        return (m_out + m_error).find(text) != std::string::npos;
    }
};

/// Runs the command line against a stand-in of the platform.
struct command_fixture
{
    run_result run(camphortide::command_line::arguments args)
    {
        args.insert(args.end(), {"--platform", m_address});
        std::ostringstream out;
        std::ostringstream error;
        auto const code =
            camphortide::command_line::run_command(args, {out, error});
        return {code, out.str(), error.str()};
    }

    camphortide::standin::platform_standin m_platform;
    std::string m_address = m_platform.listen("127.0.0.1:0").value();
};

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
