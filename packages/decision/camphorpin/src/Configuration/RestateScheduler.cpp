#include "camphorpin/src/Configuration/RestateScheduler.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace camphorpin {

namespace {

// Divisors of the retention; see the class comment.
constexpr std::int64_t MinAgeDivisor = 6;
constexpr std::int64_t WindowDivisor = 12;
// Window for retries and for restates that became due during an outage.
constexpr std::int64_t RetryWindowDivisor = 24;

} // namespace

RestateScheduler::RestateScheduler(Duration Retention, Random &Source)
    : Retention(Retention), Source(Source) {
  assert(Retention > Duration() &&
         "the log retention must be greater than zero");
}

Duration RestateScheduler::dueAge(Duration Retention) {
  return Retention / MinAgeDivisor;
}

void RestateScheduler::noteRestated(const DocumentName &Document, Instant Now) {
  start(Document, Now);
  updateEarliestDue();
}

void RestateScheduler::noteDocument(const DocumentName &Document, Instant Now) {
  if (Timers.contains(Document))
    return;
  start(Document, Now);
  updateEarliestDue();
}

void RestateScheduler::noteAges(std::span<const DocumentAge> Ages,
                                Instant Now) {
  for (const DocumentAge &Age : Ages)
    start(Age.Document, Now - Age.SinceRestate);
  updateEarliestDue();
}

std::vector<DocumentAge> RestateScheduler::ages(Instant Now) const {
  std::vector<DocumentAge> Ages;
  Ages.reserve(Timers.size());
  for (const auto &Entry : Timers)
    Ages.push_back({Entry.first, Now - Entry.second.RestatedAt});
  return Ages;
}

std::optional<DocumentName> RestateScheduler::takeDue(Instant Now,
                                                      bool HasRecentReading) {
  if (!HasRecentReading) {
    HadNoRecentReading = true;
    return std::nullopt;
  }
  if (HadNoRecentReading)
    rescheduleOverdue(Now);
  HadNoRecentReading = false;
  if (Now < EarliestDue || Now < NextAppendAllowed)
    return std::nullopt;
  const auto First = std::min_element(
      Timers.begin(), Timers.end(), [](const auto &Left, const auto &Right) {
        return Left.second.Due < Right.second.Due;
      });
  First->second.Due = Now + Retention / RetryWindowDivisor +
                      randomDelay(Retention / RetryWindowDivisor);
  NextAppendAllowed = Now + MinAppendInterval;
  updateEarliestDue();
  return First->first;
}

Duration RestateScheduler::randomDelay(Duration Window) {
  // 1 - uniform01() is in (0, 1], so the logarithm is finite.
  const double Fraction =
      1 + std::log(1 - Source.uniform01()) / std::log(DesignFleetSize);
  return Window * std::max(0.0, Fraction);
}

void RestateScheduler::start(const DocumentName &Document, Instant RestatedAt) {
  Timers[Document] = {RestatedAt, RestatedAt + dueAge(Retention) +
                                      randomDelay(Retention / WindowDivisor)};
}

void RestateScheduler::rescheduleOverdue(Instant Now) {
  for (auto &Entry : Timers)
    if (Entry.second.Due <= Now)
      Entry.second.Due = Now + randomDelay(Retention / RetryWindowDivisor);
  updateEarliestDue();
}

void RestateScheduler::updateEarliestDue() {
  EarliestDue = Instant::never();
  for (const auto &Entry : Timers)
    EarliestDue = std::min(EarliestDue, Entry.second.Due);
}

} // namespace camphorpin
