#include "common/log.h"
#include "ctl/run.h"

#include <exception>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace almondline;
    set_log_level("*", log_level::error);
    const system_clock_source clock;
    ctl::ctl_context context{std::cin, std::cout, std::cerr, clock};
    try {
        return ctl::run_almondctl({argv + 1, argv + argc}, context);
    }
    catch (const std::exception& e) {
        std::cerr << "almondctl: " << e.what() << "\n";
        return static_cast<int>(ctl::exit_code::refused);
    }
}
