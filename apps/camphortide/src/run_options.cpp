#include "run_options.hpp"

#include <cmath>
#include <cstdint>
#include <string>

namespace camphortide::command_line
{

namespace
{

namespace options = boost::program_options;

constexpr double us_per_s = 1e6;

} // namespace

void add_run_options(option_parser& parser)
{
    auto add = parser.add();
    add("deployment",
        options::value<std::string>()->default_value("caxias-serrana"),
        "caxias-serrana, bajio or the path of a deployment file");
    add("seconds", options::value<double>()->default_value(20),
        "how long requests are sent");
    add("seed", options::value<std::uint64_t>()->default_value(1),
        "seed of all random choices");
    add("json", "print the results as JSON");
    add("report", options::value<std::string>(),
        "write an HTML report to this file");
    add("history", options::value<std::string>(),
        "write every attempt to this file, one per line");
}

load::run_time to_run_time(double value)
{
    return load::run_time(std::llround(value * us_per_s));
}

} // namespace camphortide::command_line
