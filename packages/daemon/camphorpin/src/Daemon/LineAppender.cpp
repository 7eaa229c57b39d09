#include "camphorpin/src/Daemon/LineAppender.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

namespace camphorpin {

namespace {

/// Longest line in bytes: POSIX writes up to this many to a pipe whole or not
/// at all.
constexpr std::size_t MaxLineBytes = PIPE_BUF;

void neverBlock(int Descriptor) {
  struct stat Kind {};
  if (::fstat(Descriptor, &Kind) != 0 || !S_ISFIFO(Kind.st_mode))
    return;
  const int Flags = ::fcntl(Descriptor, F_GETFL);
  if (Flags >= 0)
    (void)::fcntl(Descriptor, F_SETFL, Flags | O_NONBLOCK);
}

/// \returns true if all of \p Line was written.
bool writeWhole(int Descriptor, const std::string &Line) {
  std::size_t Done = 0;
  while (Done < Line.size()) {
    const ssize_t Bytes =
        ::write(Descriptor, Line.data() + Done, Line.size() - Done);
    if (Bytes > 0)
      Done += static_cast<std::size_t>(Bytes);
    else if (errno != EINTR)
      return false;
  }
  return true;
}

} // namespace

LineAppender::LineAppender(const log4cxx::LayoutPtr &Layout, int Descriptor)
    : Descriptor(Descriptor) {
  // The base class of log4cxx 1.0 ignores a layout given to its constructor.
  setLayout(Layout);
  neverBlock(Descriptor);
}

void LineAppender::append(const log4cxx::spi::LoggingEventPtr &Event,
                          log4cxx::helpers::Pool &Memory) {
  std::string Line;
  getLayout()->format(Line, Event, Memory);
  const std::string Note =
      Untold == 0 ? "\n" : " lost=" + std::to_string(Untold) + "\n";
  // The layout ends each line.
  Line.resize(std::min(Line.size() - 1, MaxLineBytes - Note.size()));
  Line += Note;
  if (!writeWhole(Descriptor, Line)) {
    ++Lost;
    ++Untold;
    return;
  }
  ++Written;
  Untold = 0;
}

} // namespace camphorpin
