#ifndef CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONFOLD_H
#define CAMPHORPIN_SRC_CONFIGURATION_CONFIGURATIONFOLD_H

#include "camphorpin/src/Configuration/ChangeBuffer.h"
#include "camphorpin/src/Configuration/ConfigurationDocument.h"
#include "camphorpin/src/Configuration/ConfigurationRecord.h"
#include "camphorpin/src/Configuration/DigestHistory.h"
#include "camphorpin/src/Configuration/FoldSnapshot.h"
#include "camphorpin/src/Configuration/RecordOutcome.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class ConfigurationFold
/// \brief Deterministic state machine that folds the records of the log into
/// documents.
///
/// A change is accepted if its base is the version in force. The state depends
/// on the records alone, so the folds of all nodes converge. A fold that starts
/// at offset 0 knows that no document exists yet. A fold that starts later does
/// not know which documents exist: it buffers the changes it reads, adopts a
/// document from the first restate that covers all records the fold has missed
/// (RestateRecord::AsOf at or after its start), and replays the buffered
/// changes from AsOf on. It knows all documents once their number equals the
/// number that a restate gives for its AsOf.
///
/// Bounds: MaxDocuments contents of maxContentBytes(), and
/// ChangeBuffer::MaxBytes for a fold that started late or has missed records.
/// The total is about 3 MiB at the target size (7,100 homes of about 250 bytes
/// each, and the policies). The worst case is far larger, but only if operators
/// publish MaxDocuments documents of the maximum size.
class ConfigurationFold {
public:
  /// The target deployment has 621: mesh, and two for each of 310 services.
  static constexpr std::size_t MaxDocuments = 1024;

  /// \param Start the offset of the first record that will be applied. 0 is the
  /// first offset that the log ever assigned.
  explicit ConfigurationFold(std::uint64_t Start = 0);

  /// Restores the state from a snapshot of another node.
  /// \returns nothing if the snapshot is invalid or its digest does not match
  /// its documents.
  static std::optional<ConfigurationFold> restore(const FoldSnapshot &Snapshot);

  /// Folds a record. A record at an offset that was folded before is ignored.
  RecordOutcome apply(std::uint64_t Offset, std::string_view Body);

  /// Notes that there are no further records before \p Offset.
  void advanceTo(std::uint64_t Offset);

  /// Notes that the records before \p First are no longer available to this
  /// fold. Its documents stay in force but are unconfirmed until they are
  /// restated.
  void skipTo(std::uint64_t First);

  /// Notes that the fold has read the log from the first retained record to its
  /// end. If none of the records was a restate, no document existed at the
  /// first retained record, because every document is restated several times
  /// within the retention of the log. Without this rule, no first document
  /// could be created on a log whose first offsets have expired.
  void noteRetainedLogRead();

  /// \returns the offset of the next record; the state includes exactly the
  /// records before it.
  std::uint64_t nextOffset() const { return Next; }

  /// \returns true if the state is known to equal that of a fold from offset
  /// 0.
  bool resolved() const { return Complete && Unconfirmed == 0; }

  /// \returns true if the version of the document is known to equal that of a
  /// fold from offset 0, or the document is known not to exist.
  bool isKnown(const DocumentName &Name) const;

  /// \returns the document in force, or null. The pointer is valid until the
  /// next call that changes the fold.
  const ConfigurationDocument *document(const DocumentName &Name) const;

  /// \returns the version in force, 0 if there is none.
  std::uint64_t versionOf(const DocumentName &Name) const;

  /// \returns the names of all documents in force.
  std::vector<DocumentName> documentNames() const;

  /// \returns the names of the documents that have changed since the last call.
  std::vector<DocumentName> takeChanged();

  /// \returns a hash of all documents that is equal for equal states.
  std::uint64_t digest() const { return Digest; }

  /// \returns the digest after the records before \p Offset, or nothing
  /// if \p Offset is ahead of this fold or older than the history of digests,
  /// or the fold was not resolved there.
  std::optional<std::uint64_t> digestAt(std::uint64_t Offset) const;

  /// \returns the restate of a document at nextOffset(), or nothing if the fold
  /// is not certain of its version or of the number of documents.
  std::optional<RestateRecord> restate(const DocumentName &Name) const;

  /// \returns the state, or nothing if the fold is not resolved.
  std::optional<FoldSnapshot> snapshot() const;

  /// \returns how many records were invalid.
  std::uint64_t invalidRecords() const { return InvalidCount; }

  /// \returns how many restates contradicted this fold. A value above 0
  /// indicates a fault: the log lost a record, or a restate is wrong.
  std::uint64_t contradictions() const { return ContradictionCount; }

private:
  struct DocumentState {
    ConfigurationDocument Document;
    /// The AsOf of the restate from which the document was adopted, or the end
    /// of the gap after skipTo(): the document is known to exist at this
    /// offset. Used only while Complete is false.
    std::uint64_t AsOf = 0;
    /// The offset after the latest restate whose author had read the restate
    /// before it.
    std::uint64_t RestateEndOffset = 0;
    /// The version is known to equal that of a fold from offset 0.
    bool Confirmed = true;
  };

  RecordOutcome applyChange(std::uint64_t Offset, ChangeRecord Change);
  RecordOutcome applyRestate(std::uint64_t Offset, const RestateRecord &Record);
  /// \pre the version of the document is known.
  RecordOutcome foldChange(const ChangeRecord &Change);
  void applyRestateOfKnownDocument(const RestateRecord &Record,
                                   RecordOutcome &Outcome);
  void adoptRestate(const RestateRecord &Record, RecordOutcome &Outcome);
  /// Sets Complete if all documents that exist at the AsOf of the restate are
  /// known.
  void updateCompleteness(const RestateRecord &Record);
  void markComplete();
  void noteDigest();
  /// Puts a version of a document in force and updates the digest.
  void replace(DocumentState &State, ConfigurationDocument Document);

  std::map<DocumentName, DocumentState> Documents;
  std::vector<DocumentName> Changed;
  ChangeBuffer Buffer;
  DigestHistory Digests;
  std::uint64_t Next;
  /// All changes read from this offset on were folded or are in the buffer.
  std::uint64_t BufferedFrom;
  /// No other documents exist than those in Documents.
  bool Complete;
  bool SawRestate = false;
  std::size_t Unconfirmed = 0;
  std::uint64_t Digest = 0;
  std::uint64_t InvalidCount = 0;
  std::uint64_t ContradictionCount = 0;
};

} // namespace camphorpin

#endif
