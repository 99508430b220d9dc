#include "run_output.hpp"

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include <camphortide/transport/settings/deployment_file.hpp>

namespace camphortide::command_line
{

namespace
{

constexpr char const* source_directory = CAMPHORTIDE_SOURCE_DIRECTORY;

/// @return the path of a deployment file. A bundled deployment is looked up in
///     the examples folder next to the program or in one of its parent folders,
///     then in the source tree that the program was built from.
std::string deployment_path(std::string const& name)
{
    namespace files = std::filesystem;
    if (name.find('/') != std::string::npos || files::exists(name))
    {
        return name;
    }
    std::error_code ignored;
    auto const program = files::read_symlink("/proc/self/exe", ignored);
    auto const file = files::path("examples") / (name + ".jsonc");
    for (auto folder = program.parent_path(); folder.has_relative_path();
         folder = folder.parent_path())
    {
        if (files::exists(folder / file, ignored))
        {
            return (folder / file).string();
        }
    }
    return (files::path(source_directory) / file).string();
}

/// @return whether the file could be written
bool write_file(std::string const& path, std::string const& text,
                console const& output)
{
    std::ofstream file(path);
    file << text;
    if (!file.flush())
    {
        output.m_error << "camphortide: cannot write " << path << '\n';
        return false;
    }
    return true;
}

std::string history_lines(load::history const& attempts)
{
    std::string text;
    for (auto const& attempt : attempts)
    {
        text += load::to_line(attempt);
        text += '\n';
    }
    return text;
}

} // namespace

std::optional<transport::deployment> read_deployment(std::string const& name,
                                                     console const& output)
{
    auto result = transport::read_deployment_file(deployment_path(name));
    for (auto const& error : result.m_errors)
    {
        output.m_error << to_string(error) << '\n';
    }
    if (!result.ok())
    {
        return std::nullopt;
    }
    return std::move(result.m_value);
}

load::progress_handler progress_on_terminal(load::run_time duration,
                                            console const& output)
{
    if (isatty(STDERR_FILENO) == 0)
    {
        return [](load::run_time, load::driver_progress const&) {
        };
    }
    return [duration, &out = output.m_error](
               load::run_time now, load::driver_progress const& progress)
    {
        using std::chrono::duration_cast;
        using std::chrono::seconds;
        out << "\r" << duration_cast<seconds>(now).count() << " of "
            << duration_cast<seconds>(duration).count()
            << " s: " << progress.m_arrived << " requests, "
            << progress.m_executed << " executed, " << progress.m_failed
            << " attempts failed   " << std::flush;
    };
}

std::string command_text(std::string const& name, arguments const& args)
{
    std::string text = "camphortide " + name;
    for (auto const& arg : args)
    {
        text += ' ' + arg;
    }
    return text;
}

exit_code print_result(load::report_title const& title,
                       load::run_result const& result,
                       option_parser const& parser, console const& output)
{
    if (isatty(STDERR_FILENO) != 0)
    {
        output.m_error << '\n';
    }
    output.m_out << (parser.has("json") ? load::to_json(title, result)
                                        : load::to_text(title, result));
    bool written = true;
    if (parser.has("report"))
    {
        written = write_file(parser.get<std::string>("report"),
                             load::to_html(title, result), output);
    }
    if (parser.has("history"))
    {
        written = write_file(parser.get<std::string>("history"),
                             history_lines(result.m_history), output) &&
                  written;
    }
    return written && load::guarantees_held(result) ? exit_code::done
                                                    : exit_code::refused;
}

} // namespace camphortide::command_line
