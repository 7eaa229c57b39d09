#include "Programs.h"

#include <cstdlib>

namespace camphorpin::process {

std::string programPath(std::string_view Name) {
  const char *Other = std::getenv("CAMPHORPIN_PROGRAMS");
  std::string Path = Other != nullptr ? Other : CAMPHORPIN_BIN_DIR;
  Path += '/';
  Path += Name;
  return Path;
}

} // namespace camphorpin::process
