#include "measurement.hpp"

#include <algorithm>
#include <iostream>

#include <boost/program_options.hpp>

namespace options = boost::program_options;

int main(int argc, char** argv)
{
    sizes wanted;
    std::vector<std::string> parts;
    options::options_description description("fleet_control");
    description.add_options()("help", "prints this")(
        "nodes",
        options::value(&wanted.m_nodes)
            ->multitoken()
            ->default_value({8, 50, 100, 200, 400, 500}, "8 50 ... 500"),
        "sizes of the fleet")("databases",
                              options::value(&wanted.m_databases)
                                  ->multitoken()
                                  ->default_value({10, 910}, "10 910"),
                              "sizes of the catalogue")(
        "repeats", options::value(&wanted.m_repeats)->default_value(5),
        "runs of each timed case")(
        "case", options::value(&wanted.m_case),
        "a part of the names of the timed cases to run")(
        "parts",
        options::value(&parts)->multitoken()->default_value(
            {"cost", "propagation", "membership", "homes"}, "all"),
        "cost, propagation, membership, homes");
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.count("help") > 0)
    {
        std::cout << description << "\n";
        return 0;
    }
    auto const wants = [&parts](char const* part)
    {
        return std::ranges::find(parts, part) != parts.end();
    };
    if (wants("homes"))
    {
        measure_movements(wanted);
    }
    if (wants("cost"))
    {
        measure_costs(wanted);
    }
    if (wants("membership"))
    {
        measure_membership(wanted.m_nodes.back(), wanted);
    }
    if (wants("propagation"))
    {
        measure_propagation(wanted.m_nodes.back(), wanted);
    }
    return 0;
}
