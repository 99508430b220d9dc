#pragma once

#include "fleet.hpp"

#include <iostream>

namespace review
{

/// Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case couldn't
/// run. The processes that it started end with this one.
/// @param run takes the path of the program and the folder of the case
template <typename Case>
int run_case(int count, char** values, Case run)
{
    constexpr unsigned max_seconds = 115;
    constexpr int not_run = static_cast<int>(verdict::not_run);
    if (count != 3)
    {
        std::cerr << "usage: case PROGRAM FOLDER\n";
        return not_run;
    }
    for (int const number : {SIGALRM, SIGINT, SIGTERM})
    {
        std::signal(number, [](int) { ::_exit(not_run); });
    }
    ::alarm(max_seconds);
    try
    {
        return static_cast<int>(
            run(std::string(values[1]), std::string(values[2])));
    }
    catch (std::exception const& error)
    {
        std::cerr << error.what() << '\n';
        return not_run;
    }
}

} // namespace review
