#include "measurement.hpp"

#include <algorithm>
#include <iostream>

#include <boost/program_options.hpp>

namespace options = boost::program_options;

int main(int argc, char** argv)
{
    measurement_settings settings;
    std::vector<std::string> parts;
    options::options_description description("fleet_control");
    description.add_options()("help", "prints this")(
        "nodes",
        options::value(&settings.m_nodes)
            ->multitoken()
            ->default_value({8, 50, 100, 200, 400, 500}, "8 50 ... 500"),
        "sizes of the fleet")("databases",
                              options::value(&settings.m_databases)
                                  ->multitoken()
                                  ->default_value({10, 910}, "10 910"),
                              "sizes of the catalogue")(
        "repeats", options::value(&settings.m_repeats)->default_value(5),
        "runs of each timed case")(
        "case", options::value(&settings.m_case_filter),
        "a part of the names of the timed cases to run")(
        "parts",
        options::value(&parts)->multitoken()->default_value(
            {"cost", "propagation", "membership", "homes"}, "all"),
        "cost, propagation, membership, homes");
    options::variables_map arguments;
    options::store(options::parse_command_line(argc, argv, description),
                   arguments);
    options::notify(arguments);
    if (arguments.count("help") > 0)
    {
        std::cout << description << "\n";
        return 0;
    }
    auto const selected = [&parts](char const* part)
    {
        return std::ranges::find(parts, part) != parts.end();
    };
    if (selected("homes"))
    {
        measure_movements(settings);
    }
    if (selected("cost"))
    {
        measure_costs(settings);
    }
    if (selected("membership"))
    {
        measure_membership(settings.m_nodes.back(), settings);
    }
    if (selected("propagation"))
    {
        measure_propagation(settings.m_nodes.back(), settings);
    }
    return 0;
}
