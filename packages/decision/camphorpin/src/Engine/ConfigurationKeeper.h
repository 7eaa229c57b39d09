#ifndef CAMPHORPIN_SRC_ENGINE_CONFIGURATIONKEEPER_H
#define CAMPHORPIN_SRC_ENGINE_CONFIGURATIONKEEPER_H

#include "camphorpin/Configuration.h"
#include "camphorpin/src/Engine/Actions.h"
#include "camphorpin/src/Engine/LogPage.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace camphorpin::detail {

/// \class DocumentListener
/// \brief Takes over documents that have come into force.
class DocumentListener {
public:
  virtual ~DocumentListener() = default;

  virtual void documentChanged(const ConfigurationDocument &Document) = 0;
};

/// \class ConfigurationKeeper
/// \brief Reads the platform's log, folds it and restates documents.
///
/// Every node polls the log. Bounds: ConfigurationFold, RestateScheduler and
/// MaxEntries nodes to join through.
class ConfigurationKeeper {
public:
  static constexpr Duration PollInterval = Duration::seconds(1);
  static constexpr std::size_t ReadBatch = 256;

  /// \param Out, Listener and Source must outlive the keeper.
  ConfigurationKeeper(Actions &Out, DocumentListener &Listener, Random &Source,
                      Duration LogRetention)
      : Out(Out), Listener(Listener), Source(Source),
        Restates(LogRetention, Source), Retention(LogRetention) {}

  /// Starts the next read when it is due.
  void tick(Instant Now);

  void onPage(const LogPage &Page, Instant Now);
  void onReadFailed(Instant Now);

  /// \returns the latest time of which it is certain that all records appended
  /// before it are folded.
  std::optional<Instant> freshAt() const { return FreshAt; }

  /// \returns the reading to put on messages to other nodes.
  LogReading reading(Instant Now) const;

  /// \returns the nodes that the log names as points of entry.
  std::vector<EntryRecord> entries(Instant Now) const;

private:
  static constexpr std::size_t MaxEntries = 64;
  static constexpr Duration ReadTimeout = Duration::seconds(30);
  static constexpr Duration StaleAfter = Duration::seconds(10);

  struct Entry {
    EntryRecord Record;
    Instant Seen;
  };

  void fold(const LogPage &Page, Instant Now);
  void note(const RecordOutcome &Outcome, Instant Now);
  void publish(Instant Now);
  void restate(Instant Now);

  Actions &Out;
  DocumentListener &Listener;
  Random &Source;
  std::optional<ConfigurationFold> Fold;
  RestateScheduler Restates;
  const Duration Retention;
  std::map<HostAddress, Entry> Entries;
  std::optional<Instant> ReadSince;
  std::optional<Instant> FreshAt;
  Instant NextPoll;
  bool Unreachable = false;
  bool ReadToEnd = false;
};

} // namespace camphorpin::detail

#endif
