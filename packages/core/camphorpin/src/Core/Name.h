#ifndef CAMPHORPIN_SRC_CORE_NAME_H
#define CAMPHORPIN_SRC_CORE_NAME_H

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class Name
/// \brief A strongly typed string identifier: names of different kinds are
/// different types and cannot be mixed up. The text is not validated; see
/// isValidName().
template <class Kind> class Name {
public:
  Name() = default;
  explicit Name(std::string_view Text) : Text(Text) {}

  std::string_view view() const { return Text; }
  const std::string &string() const { return Text; }
  bool empty() const { return Text.empty(); }

  auto operator<=>(const Name &) const = default;

private:
  std::string Text;
};

using ServiceName = Name<struct ServiceKind>;
using OperationName = Name<struct OperationKind>;
using CallerName = Name<struct CallerKind>;
using ZoneName = Name<struct ZoneKind>;
using RegionName = Name<struct RegionKind>;
using DocumentName = Name<struct DocumentKind>;

/// \brief The maximum length of a name in bytes.
inline constexpr std::size_t MaxNameLength = 64;

/// \returns true if \p Text consists of 1 to MaxNameLength characters from
/// [a-zA-Z0-9._-], or '/' if \p AllowSlash is set, as in document names.
bool isValidName(std::string_view Text, bool AllowSlash = false);

} // namespace camphorpin

template <class Kind> struct std::hash<camphorpin::Name<Kind>> {
  std::size_t operator()(const camphorpin::Name<Kind> &Value) const {
    return std::hash<std::string_view>()(Value.view());
  }
};

#endif
