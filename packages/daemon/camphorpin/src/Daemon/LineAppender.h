#ifndef CAMPHORPIN_SRC_DAEMON_LINEAPPENDER_H
#define CAMPHORPIN_SRC_DAEMON_LINEAPPENDER_H

#include <atomic>
#include <cstdint>
#include <log4cxx/appenderskeleton.h>

namespace camphorpin {

/// \class LineAppender
/// \brief Writes log lines to a descriptor without ever waiting for its reader.
///
/// Each line is one write. If the descriptor is a pipe, a line that it can't
/// take whole is lost; the next line that is written says in the field `lost`
/// how many were.
class LineAppender final : public log4cxx::AppenderSkeleton {
public:
  /// \param Descriptor stays open as long as the appender is used. If it is a
  /// pipe, it no longer blocks from now on.
  LineAppender(const log4cxx::LayoutPtr &Layout, int Descriptor);

  void close() override {}
  bool requiresLayout() const override { return true; }

  std::uint64_t written() const { return Written; }
  std::uint64_t lost() const { return Lost; }

private:
  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &Memory) override;

  int Descriptor = -1;
  std::atomic<std::uint64_t> Written = 0;
  std::atomic<std::uint64_t> Lost = 0;
  /// Lost lines that no written line has told yet.
  std::uint64_t Untold = 0;
};

} // namespace camphorpin

#endif
