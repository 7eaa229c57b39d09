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

/// Parses JSON with comments and reports syntax errors and repeated fields.
/// \returns the value; it is discarded after a syntax error.
nlohmann::json parseJson(std::string_view Text, PolicyErrors &Errors);

/// \class JsonReader
/// \brief Reads the fields of one JSON object, reports each fault with the path
/// of the field, and finally reports the fields that nobody asked for.
class JsonReader {
public:
  /// \param Value the object; another type is reported as an error.
  /// \param Path of the object, empty for the root.
  /// \param Errors receives the faults and outlives the reader.
  JsonReader(const nlohmann::json &Value, std::string Path,
             PolicyErrors &Errors);

  /// \returns the field, or nothing if it is missing. A missing field that is
  /// required is reported.
  const nlohmann::json *find(std::string_view Field, bool Required);

  /// Reads an integer from \p Min to \p Max.
  std::optional<std::int64_t> integer(std::string_view Field, std::int64_t Min,
                                      std::int64_t Max, bool Required = false);

  /// Reads a share from 0 to 1.
  std::optional<double> share(std::string_view Field, bool Required = false);

  std::optional<bool> boolean(std::string_view Field, bool Required = false);

  /// Reads a valid name (see isValidName).
  std::optional<std::string> name(std::string_view Field,
                                  bool Required = false);

  /// Reports all fields that were not read.
  void reportUnknownFields();

  /// \returns the path of \p Field.
  std::string pathOf(std::string_view Field) const;

  /// Reports a fault at \p Field.
  /// \param Found the value, or null for a missing one.
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
