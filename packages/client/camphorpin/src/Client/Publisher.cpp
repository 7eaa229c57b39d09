#include "camphorpin/src/Client/Publisher.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <thread>
#include <vector>

namespace camphorpin {

namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, 7> Names = {
    "accepted", "already-accepted", "conflict",       "invalid",
    "unknown",  "unavailable",      "version-unknown"};

static_assert(Names.size() ==
              static_cast<std::size_t>(PublishStatus::VersionUnknown) + 1);

std::optional<PublishStatus> statusOf(OutcomeKind Kind) {
  switch (Kind) {
  case OutcomeKind::Accepted:
    return PublishStatus::Accepted;
  case OutcomeKind::Duplicate:
    return PublishStatus::AlreadyAccepted;
  case OutcomeKind::Conflict:
    return PublishStatus::Conflict;
  case OutcomeKind::Invalid:
    return PublishStatus::Invalid;
  case OutcomeKind::UnknownBase:
    return PublishStatus::VersionUnknown;
  case OutcomeKind::Ignored:
  case OutcomeKind::Restated:
  case OutcomeKind::Entry:
    return std::nullopt;
  }
  return std::nullopt;
}

} // namespace

std::string_view toString(PublishStatus Value) {
  return Names.at(static_cast<std::size_t>(Value));
}

PublishResult Publisher::publish(const PublishRequest &Request) {
  PublishResult Result;
  const std::optional<LogReadError> Error = View.refresh();
  if (Error) {
    Result.Status = PublishStatus::Unavailable;
    Result.Detail = Error->Detail;
    return Result;
  }
  Result.InForce = View.fold().versionOf(Request.Document);
  Result.Base = Request.Base.value_or(Result.InForce);
  Result.ChangeId =
      deriveChangeId(Request.Document, Result.Base, Request.Content);
  const std::optional<PublishStatus> Before = statusBefore(Request, Result);
  if (Before)
    Result.Status = *Before;
  else
    append(Request, Result);
  Result.InForce = View.fold().versionOf(Request.Document);
  return Result;
}

std::optional<PublishStatus>
Publisher::statusBefore(const PublishRequest &Request,
                        const PublishResult &Result) const {
  if (Request.Content.size() > maxContentBytes(Request.Document))
    return PublishStatus::Invalid;
  const ConfigurationFold &Fold = View.fold();
  if (!Fold.isKnown(Request.Document)) {
    if (Request.Base)
      return std::nullopt;
    return PublishStatus::VersionUnknown;
  }
  const ConfigurationDocument *InForce = Fold.document(Request.Document);
  if (InForce != nullptr) {
    const std::vector<std::string> &Ids = InForce->ChangeIds;
    const bool Repeated =
        std::find(Ids.begin(), Ids.end(), Result.ChangeId) != Ids.end();
    if (Repeated || InForce->Content == Request.Content)
      return PublishStatus::AlreadyAccepted;
  }
  // Versions never fall, so the append would be a conflict as well.
  if (Result.Base != Result.InForce)
    return PublishStatus::Conflict;
  return std::nullopt;
}

void Publisher::append(const PublishRequest &Request, PublishResult &Result) {
  const std::uint64_t From = View.fold().nextOffset();
  const AppendOutcome Outcome = Log.append(
      formatRecord(ChangeRecord{Request.Document, Result.Base, Result.ChangeId,
                                Request.Author, Request.Content}));
  Result.Detail = Outcome.Detail;
  if (Outcome.Status == AppendStatus::Unavailable) {
    Result.Status = PublishStatus::Unavailable;
    return;
  }
  Result.Status = PublishStatus::Unknown;
  for (int Try = 0; Try < ReadTries; ++Try) {
    if (Try > 0)
      std::this_thread::sleep_for(std::chrono::microseconds(Pause.ticks()));
    const std::optional<LogReadError> Error = View.refresh();
    const std::optional<PublishStatus> Found = findOutcome(Result, From);
    if (Found) {
      Result.Status = *Found;
      return;
    }
    if (Error)
      Result.Detail = Error->Detail;
  }
}

std::optional<PublishStatus> Publisher::findOutcome(const PublishResult &Result,
                                                    std::uint64_t From) const {
  for (const HistoryEntry &Entry : View.history())
    if (Entry.Offset >= From && Entry.Outcome.ChangeId == Result.ChangeId)
      return statusOf(Entry.Outcome.Kind);
  return std::nullopt;
}

} // namespace camphorpin
