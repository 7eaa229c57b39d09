# Adds the library camphorpin_<name> from all sources below camphorpin/ of the
# current package. The library is an interface library when it has no sources.
#   camphorpin_library(<name> [<dependency>...])
function(camphorpin_library NAME)
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/camphorpin/*.cpp
       ${CMAKE_CURRENT_SOURCE_DIR}/camphorpin/*.c++)
  if(SOURCES)
    add_library(camphorpin_${NAME} STATIC ${SOURCES})
    target_include_directories(camphorpin_${NAME}
                               PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(camphorpin_${NAME} PUBLIC ${ARGN})
  else()
    add_library(camphorpin_${NAME} INTERFACE)
    target_include_directories(camphorpin_${NAME}
                               INTERFACE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(camphorpin_${NAME} INTERFACE ${ARGN})
  endif()
endfunction()

# Adds one Criterion test program per tests/*Test.cpp of the current package
# and registers it with CTest under the label "unit".
#   camphorpin_tests(<dependency>...)
function(camphorpin_tests)
  if(CAMPHORPIN_PROGRAMS_ONLY)
    return()
  endif()
  file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*Test.cpp)
  foreach(SOURCE IN LISTS TESTS)
    get_filename_component(TEST ${SOURCE} NAME_WE)
    add_executable(${TEST} ${SOURCE})
    target_include_directories(${TEST}
                               PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/tests)
    target_link_libraries(${TEST} PRIVATE ${ARGN} test_support criterion rapidcheck)
    add_test(NAME ${TEST} COMMAND ${TEST} -j2)
    set_tests_properties(${TEST} PROPERTIES LABELS unit TIMEOUT 300
                         ENVIRONMENT "RC_PARAMS=seed=20261204")
  endforeach()
endfunction()

# Embeds a text file (for example a state chart) in a target, because hosts have
# no disks. The text is available as `const std::string_view <symbol>` in the
# namespace camphorpin::embedded.
#   camphorpin_embed(<target> <file> <symbol>)
function(camphorpin_embed TARGET FILE SYMBOL)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${FILE})
  file(READ ${FILE} CONTENT)
  set(OUTPUT ${CMAKE_CURRENT_BINARY_DIR}/embedded/${SYMBOL}.cpp)
  file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT
"#include <string_view>
namespace camphorpin::embedded {
extern const std::string_view ${SYMBOL};
const std::string_view ${SYMBOL} = R\"EMBEDDED(@CONTENT@)EMBEDDED\";
} // namespace camphorpin::embedded
")
  target_sources(${TARGET} PRIVATE ${OUTPUT})
endfunction()
