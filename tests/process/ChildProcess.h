#ifndef CAMPHORPIN_TESTS_PROCESS_CHILDPROCESS_H
#define CAMPHORPIN_TESTS_PROCESS_CHILDPROCESS_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace camphorpin::process {

/// \class ChildProcess
/// \brief A process that this program started. It ends with this object, and
/// with this program if that crashes.
class ChildProcess {
public:
  /// \param Command the program and its arguments.
  /// \param OutputPath file to which output and errors are appended.
  /// \param MaxDescriptors the descriptors that the process may have open; 0
  /// for as many as this one.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &OutputPath, std::size_t MaxDescriptors = 0);

  /// Kills the process if it still runs.
  ~ChildProcess();

  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Sends a signal, unless the process has been reaped.
  void signal(int Number);

  /// Stops the process until resume().
  void freeze();
  void resume();

  /// Ends the process at once and reaps it.
  void kill();

  /// Asks the process to end (SIGTERM).
  void terminate();

  /// \returns the exit status, 128 + the signal if it was killed, or nothing
  /// if the process still runs.
  std::optional<int> poll();

  /// \returns the descriptors that the process has open.
  std::size_t openDescriptors() const;

  /// \returns the most memory that the process has had resident, in bytes.
  std::size_t peakMemory() const;

  /// \returns the memory that the process has resident, in bytes.
  std::size_t residentMemory() const;

  /// Waits for the end of the process.
  /// \returns the status as poll() gives it.
  int wait();

private:
  std::optional<int> reap(int Options);

  /// \returns the size in bytes that the system's status file of the process
  /// states in \p Field, or 0 if the process has ended.
  std::size_t statusBytes(std::string_view Field) const;

  pid_t Pid = -1;
  std::optional<int> Status;
};

} // namespace camphorpin::process

#endif
