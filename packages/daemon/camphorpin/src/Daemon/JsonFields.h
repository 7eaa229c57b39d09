#ifndef CAMPHORPIN_SRC_DAEMON_JSONFIELDS_H
#define CAMPHORPIN_SRC_DAEMON_JSONFIELDS_H

#include "camphorpin/Core.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class SettingsError
/// \brief One fault in a settings file.
struct SettingsError {
  /// For example "backend.address"; empty for the file as a whole.
  std::string Field;
  std::string Message;
};

/// \class JsonFields
/// \brief Reads the fields of one JSON object and collects all faults.
///
/// The destructor reports the fields that were not asked for as unknown.
class JsonFields {
public:
  /// \param Object must be an object and outlive the reader.
  /// \param Path the field name of \p Object, empty for the whole file.
  JsonFields(const nlohmann::json &Object, std::string Path,
             std::vector<SettingsError> &Errors);
  ~JsonFields();
  JsonFields(const JsonFields &) = delete;
  JsonFields &operator=(const JsonFields &) = delete;

  bool has(const char *Field) const { return Object.contains(Field); }

  std::optional<HostAddress> address(const char *Field, bool Required);
  std::string name(const char *Field, bool Required);
  std::string text(const char *Field);

  /// \returns the number, or \p Default if the field is absent or wrong.
  std::uint64_t number(const char *Field, std::uint64_t Min, std::uint64_t Max,
                       std::uint64_t Default);

  /// \returns the truth value, or \p Default if the field is absent or wrong.
  bool flag(const char *Field, bool Default);

  /// \returns the object of this name, or null if it is absent or wrong.
  const nlohmann::json *object(const char *Field);

  /// \returns the list of this name, or null if it is absent or wrong.
  const nlohmann::json *list(const char *Field);

  void report(const char *Field, std::string_view Message);
  std::string path(const char *Field) const;

private:
  const nlohmann::json *find(const char *Field, bool Required);

  const nlohmann::json &Object;
  std::string Path;
  std::vector<SettingsError> &Errors;
  std::set<std::string> Known;
};

} // namespace camphorpin

#endif
