# GCC 12 falsely reports -Wmismatched-new-delete for coroutine frames of Asio.
set(ALMONDLINE_WARNINGS -Wno-mismatched-new-delete)

# almondline_module(NAME SOURCES files... LINK libraries...)
# Adds the static library almondline_NAME, with src/ as its include directory.
function(almondline_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(almondline_${name} STATIC ${ARG_SOURCES})
    target_include_directories(almondline_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_compile_options(almondline_${name} PRIVATE -Wall -Wextra -Wpedantic ${ALMONDLINE_WARNINGS})
    target_link_libraries(almondline_${name} PUBLIC ${ARG_LINK} Threads::Threads)
endfunction()

# almondline_program(NAME SOURCES files... LINK libraries...)
# Adds an executable, placed in bin/ of the build directory.
function(almondline_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
    target_compile_options(${name} PRIVATE -Wall -Wextra -Wpedantic ${ALMONDLINE_WARNINGS})
    target_link_libraries(${name} PRIVATE ${ARG_LINK} Threads::Threads)
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# almondline_test(NAME SOURCES files... LINK libraries...)
# Adds a doctest program and registers it with CTest.
function(almondline_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name}_tests ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/common/tests/test_main.cpp)
    target_compile_options(${name}_tests PRIVATE -Wall -Wextra -Wpedantic ${ALMONDLINE_WARNINGS})
    target_link_libraries(${name}_tests PRIVATE ${ARG_LINK} doctest::doctest)
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
endfunction()
