#ifndef CAMPHORPIN_SRC_LOGCLIENT_PLATFORMLOG_H
#define CAMPHORPIN_SRC_LOGCLIENT_PLATFORMLOG_H

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \brief The position of a record in the log. Offsets ascend, possibly with
/// gaps.
using LogOffset = std::uint64_t;

/// \class LogRecord
/// \brief A record as it was read from the log.
struct LogRecord {
  LogOffset Offset = 0;
  std::string Body;
};

/// \class LogBatch
/// \brief The result of one read.
struct LogBatch {
  /// The oldest offset that the log still keeps. Records before it are gone.
  LogOffset FirstRetained = 0;
  /// Where the next read continues.
  LogOffset Next = 0;
  /// In ascending order of offset.
  std::vector<LogRecord> Records;
};

/// \brief What is known about an append.
enum class AppendStatus : std::uint8_t {
  /// The log confirmed the record and its offset.
  Accepted,
  /// The record was certainly not appended.
  Unavailable,
  /// The record may have been appended or may yet be. Repeat it with the same
  /// change id, so that the fold recognises it.
  Unknown,
};

/// \class AppendOutcome
/// \brief The result of one append.
struct AppendOutcome {
  AppendStatus Status = AppendStatus::Unknown;
  /// Valid if the status is Accepted.
  LogOffset Offset = 0;
  /// Says for operators why the append was not accepted.
  std::string Detail;
};

/// \class LogReadError
/// \brief The error object of a failed read.
struct LogReadError {
  enum class Cause : std::uint8_t {
    /// No connection, no reply within the timeout, or an error status.
    Unavailable,
    /// The reply breaks the protocol. Nothing of it was used.
    Malformed,
  };

  Cause Reason = Cause::Unavailable;
  std::string Detail;
};

/// \class PlatformLog
/// \brief The append-only log of the platform.
///
/// Calls block up to the timeouts of the implementation. An object serves one
/// thread; threads that append and threads that read each have their own.
/// \code
/// const boost::leaf::result<LogBatch> Batch = Log.read(Next, 100);
/// if (Batch)
///   fold(Batch->Records);
/// \endcode
/// The error object of read() is a LogReadError, for boost::leaf::try_handle_*.
class PlatformLog {
public:
  virtual ~PlatformLog() = default;

  /// Appends one record.
  /// \param Record the body, in UTF-8.
  virtual AppendOutcome append(std::string_view Record) = 0;

  /// Reads records whose offset is at least \p From. If \p From is older than
  /// the log retains, reading starts at the first retained record.
  /// \param Max largest number of records to return, greater than zero.
  /// \returns the records, or an error with a LogReadError.
  virtual boost::leaf::result<LogBatch> read(LogOffset From,
                                             std::size_t Max) = 0;
};

} // namespace camphorpin

#endif
