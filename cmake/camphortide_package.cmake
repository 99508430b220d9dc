# Functions that declare the packages and their tests.
include(GNUInstallDirs)

set(CAMPHORTIDE_SANITIZER "" CACHE STRING "address, thread or empty")

add_library(camphortide_options INTERFACE)
target_compile_options(camphortide_options INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)
if(CAMPHORTIDE_SANITIZER STREQUAL "address")
    add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer -O1)
    add_link_options(-fsanitize=address,undefined)
elseif(CAMPHORTIDE_SANITIZER STREQUAL "thread")
    add_compile_options(-fsanitize=thread -fno-omit-frame-pointer -O1)
    add_link_options(-fsanitize=thread)
endif()

# camphortide_add_package(NAME DEPENDS targets...)
# Declares the static library of a package, built from include/ and src/.
function(camphortide_add_package name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS
        "${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp")
    file(GLOB_RECURSE headers CONFIGURE_DEPENDS
        "${CMAKE_CURRENT_SOURCE_DIR}/include/*.hpp")
    add_library(camphortide_${name} STATIC ${sources} ${headers})
    add_library(camphortide::${name} ALIAS camphortide_${name})
    target_include_directories(camphortide_${name} PUBLIC
        "${CMAKE_CURRENT_SOURCE_DIR}/include")
    target_link_libraries(camphortide_${name}
        PUBLIC ${ARG_DEPENDS} PRIVATE camphortide_options)
endfunction()

# camphortide_add_tests(NAME DEPENDS targets...)
# Declares one test program per subdirectory of test/.
function(camphortide_add_tests name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB features RELATIVE "${CMAKE_CURRENT_SOURCE_DIR}/test"
        CONFIGURE_DEPENDS "${CMAKE_CURRENT_SOURCE_DIR}/test/*")
    foreach(feature IN LISTS features)
        file(GLOB sources CONFIGURE_DEPENDS
            "${CMAKE_CURRENT_SOURCE_DIR}/test/${feature}/*.cpp")
        if(NOT sources)
            continue()
        endif()
        set(target "${name}_${feature}_test")
        add_executable(${target} ${sources}
            "${PROJECT_SOURCE_DIR}/cmake/doctest_main.cpp")
        target_link_libraries(${target} PRIVATE
            ${ARG_DEPENDS} doctest::doctest camphortide_options)
        set_target_properties(${target} PROPERTIES
            RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/test")
        add_test(NAME ${name}.${feature} COMMAND ${target})
        set_tests_properties(${name}.${feature} PROPERTIES
            TIMEOUT 180
            WORKING_DIRECTORY "${PROJECT_SOURCE_DIR}"
            ENVIRONMENT "TSAN_OPTIONS=suppressions=${PROJECT_SOURCE_DIR}/cmake/tsan.supp;LSAN_OPTIONS=suppressions=${PROJECT_SOURCE_DIR}/cmake/lsan.supp")
    endforeach()
endfunction()
