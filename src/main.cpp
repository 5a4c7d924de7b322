#include "cli/program.hpp"

int main(int argc, char** argv)
{
    return damaskladder::cli::run_program(argc, argv);
}
