#ifndef CAMPHORPIN_TESTS_PROCESS_TEMPORARYDIRECTORY_H
#define CAMPHORPIN_TESTS_PROCESS_TEMPORARYDIRECTORY_H

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace camphorpin::process {

/// \class TemporaryDirectory
/// \brief A new directory that is removed with this object, unless the
/// environment has CAMPHORPIN_KEEP_FILES.
struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string Name =
        (std::filesystem::temp_directory_path() / "camphorpin-XXXXXX").string();
    if (::mkdtemp(Name.data()) == nullptr)
      throw std::runtime_error("cannot create " + Name);
    Path = Name;
  }
  ~TemporaryDirectory() {
    std::error_code Ignored;
    if (std::getenv("CAMPHORPIN_KEEP_FILES") == nullptr)
      std::filesystem::remove_all(Path, Ignored);
  }
  TemporaryDirectory(const TemporaryDirectory &) = delete;
  TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

  std::filesystem::path Path;
};

} // namespace camphorpin::process

#endif
