#ifndef CAMPHORPIN_SRC_CONFIGURATION_RESTATESCHEDULER_H
#define CAMPHORPIN_SRC_CONFIGURATION_RESTATESCHEDULER_H

#include "camphorpin/Core.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace camphorpin {

/// \class DocumentAge
/// \brief The time since the last restate of a document.
struct DocumentAge {
  DocumentName Document;
  Duration SinceRestate;

  auto operator<=>(const DocumentAge &) const = default;
};

/// \class RestateScheduler
/// \brief Decides when this node restates which document.
///
/// Nodes do not coordinate. A restate that is read from the log restarts the
/// timer of its document on every node. After 1/6 of the log's retention each
/// node waits for a random delay of at most 1/12, so that the restate is
/// written after 1/4 at the latest and 1/12 is left for retries before 1/3 has
/// passed. With a gap of at most 1/3 the retained log holds at least two
/// restates of each document: the AsOf of the first may be before the first
/// retained record, but a fold that starts there can adopt the second. The
/// delay has a truncated exponential distribution: most nodes draw a delay near
/// the end of the window and a few draw a short one, whatever the size of the
/// fleet, so that the first restate reaches the others before they write
/// theirs.
///
/// Memory: one name and timer per document.
class RestateScheduler {
public:
  /// Largest number of nodes that the distribution of delays is designed for.
  /// With more nodes the first restates fall at the start of the window and
  /// some are written twice.
  static constexpr double DesignFleetSize = 10000;
  /// A node writes at most one restate per interval, so that a single node with
  /// many documents due does not use up the log's append rate.
  static constexpr Duration MinAppendInterval = Duration::seconds(1);

  /// \returns the age at which a restate of a document becomes due.
  static Duration dueAge(Duration Retention);

  /// \param Retention how long the log keeps records, greater than zero.
  RestateScheduler(Duration Retention, Random &Source);

  /// Notes that a restate of the document was read from the log.
  void noteRestated(const DocumentName &Document, Instant Now);

  /// Notes that the document exists. If it has no timer yet, its timer starts
  /// now.
  void noteDocument(const DocumentName &Document, Instant Now);

  /// Sets the ages of documents, for example to those known to a peer.
  void noteAges(std::span<const DocumentAge> Ages, Instant Now);

  /// \returns the ages of all documents, for a joining node.
  std::vector<DocumentAge> ages(Instant Now) const;

  /// \param HasRecentReading whether this node knows of a recent reading of the
  /// log. Without one it cannot know which documents others have restated, and
  /// the log may be unavailable.
  /// \returns a document that this node should restate now, if any.
  std::optional<DocumentName> takeDue(Instant Now, bool HasRecentReading);

private:
  struct Timer {
    Instant RestatedAt;
    Instant Due;
  };

  /// \returns a random delay of at most \p Window.
  Duration randomDelay(Duration Window);
  void start(const DocumentName &Document, Instant RestatedAt);
  /// Draws new delays for overdue restates after an outage, so that the nodes
  /// do not all append at once.
  void rescheduleOverdue(Instant Now);
  void updateEarliestDue();

  Duration Retention;
  Random &Source;
  std::map<DocumentName, Timer> Timers;
  Instant EarliestDue = Instant::never();
  Instant NextAppendAllowed;
  /// takeDue() was last called without a recent reading.
  bool HadNoRecentReading = false;
};

} // namespace camphorpin

#endif
