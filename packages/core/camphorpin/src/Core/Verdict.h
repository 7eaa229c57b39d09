#ifndef CAMPHORPIN_SRC_CORE_VERDICT_H
#define CAMPHORPIN_SRC_CORE_VERDICT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorpin {

/// \brief Says whether a request has run on a backend server.
enum class Verdict : std::uint8_t {
  /// The work ran to its end.
  Ran,
  /// The work did not run and will not run later.
  NotRun,
  /// The work may have run, may be running, or may have run in part.
  MayHaveRun,
};

/// \returns the name used in HTTP headers: "ran", "not-run" or "may-have-run".
std::string_view toString(Verdict Value);

/// \returns the verdict with this name, or nothing.
std::optional<Verdict> parseVerdict(std::string_view Text);

} // namespace camphorpin

#endif
