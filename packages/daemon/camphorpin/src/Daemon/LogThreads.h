#ifndef CAMPHORPIN_SRC_DAEMON_LOGTHREADS_H
#define CAMPHORPIN_SRC_DAEMON_LOGTHREADS_H

#include "camphorpin/LogClient.h"
#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Daemon/EventQueue.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>

namespace camphorpin {

/// \class LogRead
/// \brief A read of the platform's log that is to be made.
struct LogRead {
  std::uint64_t From = 0;
  std::size_t Max = 1;
};

/// \class LogThreads
/// \brief One thread that reads the platform's log and one that appends to it.
class LogThreads {
public:
  /// \param Events and \p Log must outlive the threads.
  LogThreads(const HostAddress &Address, EventQueue &Events, EventLog &Log);
  ~LogThreads();
  LogThreads(const LogThreads &) = delete;
  LogThreads &operator=(const LogThreads &) = delete;

  void start();

  /// Tries to append what was given and joins the threads.
  void stop();

  /// The end is reported as LogPageRead or LogReadFailed.
  /// \returns false if too many reads wait.
  bool read(const LogRead &Request) { return Reads.push(LogRead(Request)); }

  /// Appends a record. Whether it took effect shows in the log.
  /// \returns false if too many records wait.
  bool append(std::string Record) { return Appends.push(std::move(Record)); }

private:
  static HttpLogSettings settingsFor(const HostAddress &Address);
  void readAll();
  void appendAll();

  const HttpLogSettings Settings;
  EventQueue &Events;
  EventLog &Log;
  BoundedQueue<LogRead> Reads;
  BoundedQueue<std::string> Appends;
  std::thread Reader;
  std::thread Appender;
};

} // namespace camphorpin

#endif
