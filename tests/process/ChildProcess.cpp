#include "ChildProcess.h"

#include <cassert>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string_view>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace camphorpin::process {

namespace {

constexpr int ExecFailed = 127;

[[noreturn]] void execute(std::vector<char *> &Arguments, int Output,
                          std::size_t MaxDescriptors) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const rlimit Limit{MaxDescriptors, MaxDescriptors};
  if (MaxDescriptors > 0)
    ::setrlimit(RLIMIT_NOFILE, &Limit);
  sigset_t None;
  sigemptyset(&None);
  ::sigprocmask(SIG_SETMASK, &None, nullptr);
  ::dup2(Output, STDOUT_FILENO);
  ::dup2(Output, STDERR_FILENO);
  ::execv(Arguments[0], Arguments.data());
  ::_exit(ExecFailed);
}

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &OutputPath,
                           std::size_t MaxDescriptors) {
  assert(!Command.empty() && "a command names a program");
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  const int Output = ::open(OutputPath.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  Pid = ::fork();
  if (Pid == 0)
    execute(Arguments, Output, MaxDescriptors);
  ::close(Output);
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::signal(int Number) {
  if (Pid > 0 && !Status)
    ::kill(Pid, Number);
}

void ChildProcess::freeze() { signal(SIGSTOP); }

void ChildProcess::resume() { signal(SIGCONT); }

void ChildProcess::kill() {
  signal(SIGKILL);
  wait();
}

void ChildProcess::terminate() { signal(SIGTERM); }

std::size_t ChildProcess::openDescriptors() const {
  std::error_code Error;
  const std::filesystem::directory_iterator Entries(
      "/proc/" + std::to_string(Pid) + "/fd", Error);
  return static_cast<std::size_t>(std::distance(begin(Entries), end(Entries)));
}

std::size_t ChildProcess::peakMemory() const { return statusBytes("VmHWM:"); }

std::size_t ChildProcess::residentMemory() const {
  return statusBytes("VmRSS:");
}

std::size_t ChildProcess::statusBytes(std::string_view Field) const {
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  constexpr std::size_t BytesPerKilobyte = 1024;
  std::string Line;
  while (std::getline(Status, Line))
    if (Line.starts_with(Field))
      return std::stoul(Line.substr(Field.size())) * BytesPerKilobyte;
  return 0;
}

std::optional<int> ChildProcess::poll() { return reap(WNOHANG); }

int ChildProcess::wait() { return reap(0).value_or(ExecFailed); }

std::optional<int> ChildProcess::reap(int Options) {
  int Raw = 0;
  if (Pid <= 0 || Status || ::waitpid(Pid, &Raw, Options) != Pid)
    return Status;
  Status = WIFEXITED(Raw) ? WEXITSTATUS(Raw) : 128 + WTERMSIG(Raw);
  return Status;
}

} // namespace camphorpin::process
