#ifndef CAMPHORPIN_SRC_POLICY_JSONREADER_H
#define CAMPHORPIN_SRC_POLICY_JSONREADER_H

#include "camphorpin/src/Policy/PolicyError.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace camphorpin::detail {

/// Parses JSON with comments and reports syntax errors, duplicate fields and
/// excessive nesting.
/// \returns the value, in the state "discarded" after a syntax error.
nlohmann::json parseJson(std::string_view Text, PolicyErrors &Errors);

/// \class JsonReader
/// \brief Reads the fields of a JSON object and reports each invalid field with
/// its path. reportUnknownFields() reports the fields that were never
/// requested.
class JsonReader {
public:
  /// \param Value the object; any other type is reported as an error.
  /// \param Path the path of the object, empty for the root.
  /// \param Errors receives the errors; must outlive the reader.
  JsonReader(const nlohmann::json &Value, std::string Path,
             PolicyErrors &Errors);

  /// Marks the field as known.
  /// \returns the field, or null if it is missing. A missing field is reported
  /// if \p Required is set.
  const nlohmann::json *find(std::string_view Field, bool Required);

  /// Reads an integer in [\p Min, \p Max].
  std::optional<std::int64_t> integer(std::string_view Field, std::int64_t Min,
                                      std::int64_t Max, bool Required = false);

  /// Reads a number in [0, 1].
  std::optional<double> share(std::string_view Field, bool Required = false);

  std::optional<bool> boolean(std::string_view Field, bool Required = false);

  /// Reads a valid name (see isValidName).
  std::optional<std::string> name(std::string_view Field,
                                  bool Required = false);

  /// Reports all fields of the object that were not read. Must be called last.
  void reportUnknownFields();

  /// \returns the path of \p Field from the root, for example "ranks[1].floor".
  std::string pathOf(std::string_view Field) const;

  /// Appends an error for \p Field.
  /// \param Found the invalid value, or null if the field is missing.
  void report(PolicyFault Fault, std::string_view Field,
              const nlohmann::json *Found, std::string Allowed);

private:
  const nlohmann::json &Value;
  std::string Path;
  PolicyErrors &Errors;
  std::set<std::string, std::less<>> KnownFields;
};

} // namespace camphorpin::detail

#endif
