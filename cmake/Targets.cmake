# Helpers that keep the CMakeLists.txt of each folder to a few lines.

# One precompiled header for the targets that do network I/O.
add_library(cwl-network-pch OBJECT ${CMAKE_SOURCE_DIR}/cmake/networkpch.cpp)
target_precompile_headers(cwl-network-pch PRIVATE <utility> <boost/asio.hpp> <boost/beast.hpp>)
target_compile_definitions(cwl-network-pch PRIVATE BOOST_BEAST_USE_STD_STRING_VIEW)
target_link_libraries(cwl-network-pch PRIVATE Threads::Threads)

# cwl_library(NAME SOURCES... [DEPENDS libs...] [NETWORK]): a library of src/, included as "name/header.h".
function(cwl_library name)
    cmake_parse_arguments(arg "NETWORK" "" "DEPENDS" ${ARGN})
    add_library(cwl-${name} STATIC ${arg_UNPARSED_ARGUMENTS})
    target_include_directories(cwl-${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(cwl-${name} PUBLIC ${arg_DEPENDS})
    cwl_network(cwl-${name} "${arg_NETWORK}")
endfunction()

# cwl_program(NAME SOURCES... [DEPENDS libs...] [NETWORK]): one binary in build/<kind>/bin.
function(cwl_program name)
    cmake_parse_arguments(arg "NETWORK" "" "DEPENDS" ${ARGN})
    add_executable(${name} ${arg_UNPARSED_ARGUMENTS})
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS})
    cwl_network(${name} "${arg_NETWORK}")
endfunction()

# cwl_test(NAME SOURCES... [DEPENDS libs...] [NETWORK] [TIMEOUT seconds]): one CppUnit program, run by CTest.
function(cwl_test name)
    cmake_parse_arguments(arg "NETWORK" "TIMEOUT" "DEPENDS" ${ARGN})
    add_executable(${name} ${arg_UNPARSED_ARGUMENTS} ${CMAKE_SOURCE_DIR}/tests/main.cpp)
    target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/tests)
    target_link_libraries(${name} PRIVATE ${arg_DEPENDS} PkgConfig::CPPUNIT rapidcheck)
    cwl_network(${name} "${arg_NETWORK}")
    add_test(NAME ${name} COMMAND ${name})
    # The same cases in each run. Run the program itself with another RC_PARAMS or CWL_SEED for others.
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204")
    if(arg_TIMEOUT)
        set_tests_properties(${name} PROPERTIES TIMEOUT ${arg_TIMEOUT})
    else()
        set_tests_properties(${name} PROPERTIES TIMEOUT 120)
    endif()
endfunction()

function(cwl_network target enabled)
    if(enabled)
        target_compile_definitions(${target} PRIVATE BOOST_BEAST_USE_STD_STRING_VIEW)
        target_precompile_headers(${target} REUSE_FROM cwl-network-pch)
        target_link_libraries(${target} PRIVATE Threads::Threads)
    endif()
endfunction()
