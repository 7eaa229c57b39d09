#ifndef CAMPHORPIN_SRC_CLIENT_PUBLISHER_H
#define CAMPHORPIN_SRC_CLIENT_PUBLISHER_H

#include "camphorpin/src/Client/LogView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorpin {

/// \class PublishRequest
/// \brief A new content for a document.
struct PublishRequest {
  DocumentName Document;
  /// Canonical JSON.
  std::string Content;
  /// The version that the content was made from; the version in force if it is
  /// not given.
  std::optional<std::uint64_t> Base;
  std::string Author;
};

/// \brief What came of a change.
enum class PublishStatus : std::uint8_t {
  Accepted,
  /// The same change, or the same content, is in force or was accepted before.
  AlreadyAccepted,
  Conflict,
  /// The record was appended but is not valid for the fold.
  Invalid,
  /// The answer to the append was lost and the record is not in the log yet.
  Unknown,
  /// The log could not be read or did not take the record.
  Unavailable,
  /// The version in force cannot be told from the log.
  VersionUnknown,
};

/// \returns for example "already-accepted".
std::string_view toString(PublishStatus Value);

/// \class PublishResult
/// \brief The status with the versions it is about.
struct PublishResult {
  PublishStatus Status = PublishStatus::Unknown;
  std::uint64_t Base = 0;
  /// The version in force after the change, as far as is known.
  std::uint64_t InForce = 0;
  std::string ChangeId;
  std::string Detail;
};

/// \class Publisher
/// \brief Appends a change and reads the log back to see what came of it.
///
/// The id of a change is derived from document, base and content, so that the
/// same request can be made again after any failure: the fold recognises the
/// repetition.
class Publisher {
public:
  /// Reads after an append whose answer was lost.
  static constexpr int ReadTries = 4;

  /// \param Pause between these reads.
  Publisher(PlatformLog &Log, LogView &View, Duration Pause)
      : Log(Log), View(View), Pause(Pause) {}

  PublishResult publish(const PublishRequest &Request);

private:
  std::optional<PublishStatus> statusBefore(const PublishRequest &Request,
                                            const PublishResult &Result) const;
  void append(const PublishRequest &Request, PublishResult &Result);
  std::optional<PublishStatus> findOutcome(const PublishResult &Result,
                                           std::uint64_t From) const;

  PlatformLog &Log;
  LogView &View;
  Duration Pause;
};

} // namespace camphorpin

#endif
