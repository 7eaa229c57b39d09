// Guards requests against the log: whoever reads the standard output may be
// slow or gone, which may cost lines but must neither block nor tear them.
#include "camphorpin/src/Daemon/EventLog.h"

#include <array>
#include <criterion/criterion.h>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <sstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

using namespace camphorpin;

namespace {

constexpr int Lines = 5000;

/// The standard output of the test, replaced by a pipe.
class OutputPipe {
public:
  OutputPipe() {
    const std::array<int, 2> Ends = openPipe();
    Reading = Ends[0];
    ::fcntl(Reading, F_SETFL, O_NONBLOCK);
    replaceOutput(Ends[1]);
  }
  ~OutputPipe() { closeReader(); }

  /// \returns what can be read at present.
  std::string take() const {
    std::string Result;
    std::array<char, 4096> Part{};
    for (;;) {
      const ssize_t Bytes = ::read(Reading, Part.data(), Part.size());
      if (Bytes <= 0)
        return Result;
      Result.append(Part.data(), static_cast<std::size_t>(Bytes));
    }
  }

  void closeReader() {
    if (Reading >= 0)
      ::close(Reading);
    Reading = -1;
  }

private:
  static std::array<int, 2> openPipe() {
    std::array<int, 2> Ends{};
    cr_assert_eq(::pipe(Ends.data()), 0);
    return Ends;
  }

  static void replaceOutput(int Writing) {
    std::fflush(stdout);
    cr_assert_eq(::dup2(Writing, STDOUT_FILENO), STDOUT_FILENO);
    ::close(Writing);
  }

  int Reading = -1;
};

std::vector<std::string> linesOf(const std::string &Text) {
  std::vector<std::string> Result;
  std::istringstream Stream(Text);
  for (std::string Line; std::getline(Stream, Line);)
    Result.push_back(Line);
  return Result;
}

/// \returns the number in the field \p Name of \p Line, or 0 without it.
std::size_t fieldOf(const std::string &Line, const std::string &Name) {
  const std::size_t At = Line.find(" " + Name + "=");
  return At == std::string::npos
             ? 0
             : std::stoul(Line.substr(At + Name.size() + 2));
}

} // namespace

Test(LogOutput, fullPipeLosesWholeLinesAndSaysHowMany, .timeout = 20) {
  OutputPipe Output;
  ManualClock Time;
  EventLog Log({"info", ""}, Time, Lines);
  for (int Index = 0; Index < Lines; ++Index)
    Log.write(LogEvent::ConnectionFailed,
              {{"peer", "127.0.0.1:7001"}, {"error", "e"}});
  const std::vector<std::string> Kept = linesOf(Output.take());
  Log.write(LogEvent::ConnectionReplaced, {{"peer", "p"}, {"calls", "1"}});
  const std::vector<std::string> Next = linesOf(Output.take());
  cr_assert_lt(Kept.size(), static_cast<std::size_t>(Lines));
  for (const std::string &Line : Kept)
    cr_assert(Line.ends_with("error=e"), "torn line: %s", Line.c_str());
  cr_assert_eq(Next.size(), 1U);
  cr_assert(Next.front().find("event=202") != std::string::npos);
  cr_assert_eq(Kept.size() + fieldOf(Next.front(), "lost"),
               static_cast<std::size_t>(Lines));
  cr_assert_eq(Log.counts().Lost, Lines - Kept.size());
  cr_assert_eq(Log.counts().Written, Kept.size() + 1);
}

Test(LogOutput, closedPipeIsNoError, .timeout = 20) {
  std::signal(SIGPIPE, SIG_IGN);
  OutputPipe Output;
  ManualClock Time;
  EventLog Log({"info", ""}, Time);
  Output.closeReader();
  Log.write(LogEvent::ConnectionFailed, {{"peer", "p"}, {"error", "e"}});
  cr_assert_eq(Log.counts().Lost, 1U);
}

// A caller chooses its request ids, so a value may be longer than what a pipe
// takes at once.
Test(LogOutput, longLineIsCut, .timeout = 20) {
  OutputPipe Output;
  ManualClock Time;
  EventLog Log({"info", ""}, Time);
  Log.write(LogEvent::ConnectionFailed,
            {{"peer", std::string(100000, 'p')}, {"error", "e"}});
  const std::vector<std::string> Written = linesOf(Output.take());
  cr_assert_eq(Written.size(), 1U);
  cr_assert_leq(Written.front().size(), 4096U);
}

Test(LogOutput, linesLeftOutAreCounted) {
  OutputPipe Output;
  ManualClock Time;
  EventLog Log({"info", ""}, Time, 2);
  for (int Index = 0; Index < 5; ++Index)
    Log.write(LogEvent::ConnectionFailed, {{"peer", "p"}, {"error", "e"}});
  cr_assert_eq(Log.counts().Written, 2U);
  cr_assert_eq(Log.counts().LeftOut, 3U);
}
