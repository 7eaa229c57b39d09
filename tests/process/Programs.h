#ifndef CAMPHORPIN_TESTS_PROCESS_PROGRAMS_H
#define CAMPHORPIN_TESTS_PROCESS_PROGRAMS_H

#include <string>
#include <string_view>

namespace camphorpin::process {

/// \returns the path of a program that a test starts. It is built with the
/// test, unless the environment variable CAMPHORPIN_PROGRAMS names a directory
/// with other builds of the programs, for example with a sanitizer.
std::string programPath(std::string_view Name);

} // namespace camphorpin::process

#endif
