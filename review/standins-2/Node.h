#ifndef REVIEW_STANDINS_2_NODE_H
#define REVIEW_STANDINS_2_NODE_H

#include "Http.h"
#include "Record.h"

#include <sys/types.h>

namespace review {

/// \brief Where a node runs.
struct NodeOptions {
  std::string Name;
  std::string Service;
  std::string Zone;
  std::uint16_t WorkerPort = 0;
  std::uint16_t StorePort = 0;
  /// The folder of the settings file and the log.
  std::string Folder;
};

/// \class Node
/// \brief The process of a machine's node, started with the command of the
/// deploy file.
class Node {
public:
  Node(NodeOptions Options, Record &Log);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  const std::string &name() const { return Options.Name; }
  std::uint16_t outbound() const { return Outbound; }
  std::uint16_t control() const { return Control; }
  /// \returns when the process was last started.
  std::int64_t startedMillis() const { return Started; }
  bool running() const { return Process > 0; }

  void start();
  /// Sends SIGTERM, and SIGKILL after the stop grace. Returns after the end of
  /// the process.
  void stop();
  /// Sends SIGKILL.
  void kill();
  /// \returns true if the process has ended by itself.
  bool endedByItself();
  /// \returns the status that the node answers to the question whether it is
  /// ready.
  int readyStatus() const;

private:
  std::string settingsFile() const;
  void writeSettings() const;
  /// \returns true if the process ends within \p Millis.
  bool waitForEnd(std::int64_t Millis);

  NodeOptions Options;
  Record &Log;
  std::uint16_t Outbound = freePort();
  std::uint16_t Ready = freePort();
  std::uint16_t Control = freePort();
  std::uint16_t Peers = freePort();
  std::uint16_t Metrics = freePort();
  pid_t Process = -1;
  std::int64_t Started = 0;
  bool FirstStart = true;
};

} // namespace review

#endif
