#ifndef CAMPHORPIN_SRC_LOGCLIENT_PLATFORMLOG_H
#define CAMPHORPIN_SRC_LOGCLIENT_PLATFORMLOG_H

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \brief The position of a record in the log. Offsets are strictly increasing,
/// possibly with gaps.
using LogOffset = std::uint64_t;

/// \class LogRecord
/// \brief A record read from the log.
struct LogRecord {
  LogOffset Offset = 0;
  std::string Body;
};

/// \class LogBatch
/// \brief The result of one read.
struct LogBatch {
  /// The oldest offset that the log retains. Earlier records were deleted.
  LogOffset FirstRetained = 0;
  /// The offset at which the next read continues.
  LogOffset Next = 0;
  /// In ascending order of offset.
  std::vector<LogRecord> Records;
};

/// \brief Whether a record was appended.
enum class AppendStatus : std::uint8_t {
  /// The log confirmed the record and its offset.
  Accepted,
  /// The record was definitely not appended.
  Unavailable,
  /// The record may have been appended or may still be. Retry it with the same
  /// change id, by which the readers of the log detect the duplicate.
  Unknown,
};

/// \class AppendOutcome
/// \brief The result of one append.
struct AppendOutcome {
  AppendStatus Status = AppendStatus::Unknown;
  /// Only valid if the status is Accepted.
  LogOffset Offset = 0;
  /// The reason, for operators, why the append was not accepted.
  std::string Detail;
};

/// \class LogReadError
/// \brief The error of a failed read.
struct LogReadError {
  enum class Cause : std::uint8_t {
    /// No connection, no complete reply within the limits of time and size, or
    /// an error status.
    Unavailable,
    /// The reply violates the protocol; all of it was discarded.
    Malformed,
  };

  Cause Reason = Cause::Unavailable;
  std::string Detail;
};

/// \class PlatformLog
/// \brief Interface to the append-only log of the platform.
///
/// Calls block up to the timeouts of the implementation. Objects are not
/// thread-safe; each thread that appends or reads uses its own.
/// \code
/// const boost::leaf::result<LogBatch> Batch = Log.read(Next, 100);
/// if (Batch)
///   apply(Batch->Records);
/// \endcode
/// The error object of read() is a LogReadError, for boost::leaf::try_handle_*.
class PlatformLog {
public:
  virtual ~PlatformLog() = default;

  /// Appends one record.
  /// \param Record the body, in UTF-8.
  virtual AppendOutcome append(std::string_view Record) = 0;

  /// Reads records whose offset is at least \p From. If the log no longer
  /// retains \p From, reading starts at the first retained record.
  /// \param Max maximum number of records to return, greater than zero.
  /// \returns the records, or a LogReadError.
  virtual boost::leaf::result<LogBatch> read(LogOffset From,
                                             std::size_t Max) = 0;
};

} // namespace camphorpin

#endif
