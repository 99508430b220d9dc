#include "command_table.hpp"

#include <iostream>
#include <string>
#include <vector>

int main(int count, char** values)
{
    std::vector<std::string> const arguments(values + 1, values + count);
    return static_cast<int>(camphortide::command_line::run_command(
        arguments, {std::cout, std::cerr}));
}
