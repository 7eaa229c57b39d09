#ifndef CAMPHORPIN_SRC_CORE_VERDICT_H
#define CAMPHORPIN_SRC_CORE_VERDICT_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorpin {

/// \brief Whether a request was executed by a backend server.
///
/// Nodes send each other the numeric values: new ones are appended, and
/// verdictFromCode() names the last one.
enum class Verdict : std::uint8_t {
  /// The request ran to completion.
  Ran,
  /// The request has not run and will not run later.
  NotRun,
  /// The request may have run completely or partially, or may still be running.
  MayHaveRun,
};

/// \returns the name used in HTTP headers: "ran", "not-run" or "may-have-run".
std::string_view toString(Verdict Value);

/// \returns the verdict with this name, or nothing.
std::optional<Verdict> parseVerdict(std::string_view Text);

} // namespace camphorpin

#endif
