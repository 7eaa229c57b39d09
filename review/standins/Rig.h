#ifndef CAMPHORPIN_REVIEW_STANDINS_RIG_H
#define CAMPHORPIN_REVIEW_STANDINS_RIG_H

// Stand-ins for the platform's store, backend servers and clients, and the
// processes of a small deployment, for the scripts of the review. They use
// blocking sockets and one thread per connection, and no code of the product.

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

/// Exit codes of the scripts.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

inline std::int64_t nowMillis() {
  static const auto Start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - Start)
      .count();
}

inline std::int64_t unixMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline void sleepMillis(std::int64_t Millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Millis));
}

/// The record of a run: a line per event, with the time since its start.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")) {}
  ~Record() {
    if (File != nullptr)
      std::fclose(File);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    if (File == nullptr)
      return;
    std::fprintf(File, "%7lld ms ", static_cast<long long>(nowMillis()));
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::mutex Mutex;
  std::FILE *File;
};

struct HttpMessage {
  std::string Start;
  std::vector<std::pair<std::string, std::string>> Headers;
  std::string Body;

  std::string header(const char *Name) const {
    for (const auto &[Key, Value] : Headers)
      if (strcasecmp(Key.c_str(), Name) == 0)
        return Value;
    return {};
  }
  std::string method() const { return Start.substr(0, Start.find(' ')); }
  std::string target() const {
    const std::size_t From = Start.find(' ') + 1;
    return Start.substr(From, Start.find(' ', From) - From);
  }
  int status() const {
    return Start.size() > 12 ? std::atoi(Start.c_str() + 9) : 0;
  }
};

/// How reading a message ended.
enum class ReadResult { Complete, Closed, Truncated, TimedOut };

/// A blocking connection that carries HTTP/1.1 messages.
class Stream {
public:
  explicit Stream(int Fd) : Fd(Fd) {
    const int On = 1;
    (void)setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  }
  ~Stream() { close(); }
  Stream(const Stream &) = delete;
  Stream &operator=(const Stream &) = delete;

  int fd() const { return Fd; }
  void close() {
    if (Fd >= 0)
      ::close(Fd);
    Fd = -1;
  }

  bool sendAll(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Sent = ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
      if (Sent <= 0)
        return false;
      Bytes.remove_prefix(static_cast<std::size_t>(Sent));
    }
    return true;
  }

  /// Reads a message whose body has a length.
  ReadResult read(HttpMessage &Target, std::int64_t TimeoutMillis) {
    const std::int64_t Until = nowMillis() + TimeoutMillis;
    std::size_t HeadEnd = std::string::npos;
    while ((HeadEnd = Buffer.find("\r\n\r\n")) == std::string::npos) {
      const ReadResult Result = fill(Until);
      if (Result != ReadResult::Complete)
        return Buffer.empty() || Result == ReadResult::TimedOut
                   ? Result
                   : ReadResult::Truncated;
    }
    parseHead(Target, HeadEnd);
    Buffer.erase(0, HeadEnd + 4);
    const std::size_t Length =
        std::strtoull(Target.header("Content-Length").c_str(), nullptr, 10);
    while (Buffer.size() < Length) {
      const ReadResult Result = fill(Until);
      if (Result != ReadResult::Complete)
        return Result == ReadResult::TimedOut ? Result : ReadResult::Truncated;
    }
    Target.Body = Buffer.substr(0, Length);
    Buffer.erase(0, Length);
    return ReadResult::Complete;
  }

  /// Reads up to \p Bytes at a steady rate.
  /// \returns the number of bytes that have arrived.
  std::size_t readSlowly(std::size_t Bytes, std::int64_t BytesPerMilli,
                         std::int64_t TimeoutMillis) {
    constexpr std::size_t PartBytes = 16384;
    const std::int64_t Start = nowMillis();
    std::size_t Received = 0;
    char Part[PartBytes];
    while (Received < Bytes && nowMillis() - Start < TimeoutMillis) {
      const ssize_t Count = ::recv(Fd, Part, PartBytes, 0);
      if (Count <= 0)
        break;
      Received += static_cast<std::size_t>(Count);
      const std::int64_t Due =
          Start + static_cast<std::int64_t>(Received) / BytesPerMilli;
      if (Due > nowMillis())
        sleepMillis(Due - nowMillis());
    }
    return Received;
  }

private:
  ReadResult fill(std::int64_t Until) {
    pollfd Item{Fd, POLLIN, 0};
    const std::int64_t Left = Until - nowMillis();
    if (Left <= 0 || ::poll(&Item, 1, static_cast<int>(Left)) <= 0)
      return ReadResult::TimedOut;
    char Bytes[65536];
    const ssize_t Count = ::recv(Fd, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return ReadResult::Closed;
    Buffer.append(Bytes, static_cast<std::size_t>(Count));
    return ReadResult::Complete;
  }

  void parseHead(HttpMessage &Target, std::size_t HeadEnd) const {
    Target = HttpMessage();
    std::istringstream Lines(Buffer.substr(0, HeadEnd));
    std::string Line;
    while (std::getline(Lines, Line)) {
      if (!Line.empty() && Line.back() == '\r')
        Line.pop_back();
      const std::size_t Colon = Line.find(':');
      if (Target.Start.empty())
        Target.Start = Line;
      else if (Colon != std::string::npos)
        Target.Headers.emplace_back(
            Line.substr(0, Colon),
            Line.substr(
                std::min(Line.size(), Line.find_first_not_of(' ', Colon + 1))));
    }
  }

  int Fd;
  std::string Buffer;
};

inline sockaddr_in loopback(std::uint16_t Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Address.sin_port = htons(Port);
  return Address;
}

/// \returns a listening socket on a free port, which is stored in \p Port.
inline int listenOnFreePort(std::uint16_t &Port) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int On = 1;
  (void)setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  sockaddr_in Address = loopback(Port);
  socklen_t Length = sizeof(Address);
  if (::bind(Fd, reinterpret_cast<sockaddr *>(&Address), Length) != 0 ||
      ::listen(Fd, 512) != 0)
    std::exit(CouldNotRun);
  (void)getsockname(Fd, reinterpret_cast<sockaddr *>(&Address), &Length);
  Port = ntohs(Address.sin_port);
  return Fd;
}

/// \returns a free port for a node. It lies below the range from which the
/// kernel takes the ports of outgoing connections, so that it stays free while
/// the node restarts.
inline std::uint16_t freePort() {
  constexpr std::uint16_t First = 20000;
  constexpr std::uint16_t Count = 12000;
  static std::uint16_t Next =
      static_cast<std::uint16_t>(::getpid() * 97 % Count);
  while (true) {
    const auto Port = static_cast<std::uint16_t>(First + Next++ % Count);
    const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in Address = loopback(Port);
    const bool Free = ::bind(Fd, reinterpret_cast<const sockaddr *>(&Address),
                             sizeof(Address)) == 0;
    ::close(Fd);
    if (Free)
      return Port;
  }
}

/// \returns a connection, or null.
inline std::shared_ptr<Stream> connectTo(std::uint16_t Port,
                                         int ReceiveBufferBytes = 0) {
  const int Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (ReceiveBufferBytes > 0)
    (void)setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                     sizeof(ReceiveBufferBytes));
  const sockaddr_in Address = loopback(Port);
  if (::connect(Fd, reinterpret_cast<const sockaddr *>(&Address),
                sizeof(Address)) != 0) {
    ::close(Fd);
    return nullptr;
  }
  return std::make_shared<Stream>(Fd);
}

inline std::string addressOf(std::uint16_t Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// Serves each connection in a thread of its own.
class Server {
public:
  using Handler = std::function<void(Stream &, const HttpMessage &)>;

  explicit Server(Handler Handle) : Handle(std::move(Handle)) {
    const int Listener = listenOnFreePort(Port);
    std::thread([this, Listener] { accept(Listener); }).detach();
  }

  std::uint16_t port() const { return Port; }

private:
  void accept(int Listener) {
    while (true) {
      const int Fd = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (Fd >= 0)
        std::thread([this, Fd] { serve(Fd); }).detach();
    }
  }

  void serve(int Fd) {
    constexpr std::int64_t IdleMillis = 3600000;
    Stream Connection(Fd);
    HttpMessage Request;
    while (Connection.read(Request, IdleMillis) == ReadResult::Complete)
      Handle(Connection, Request);
  }

  Handler Handle;
  std::uint16_t Port = 0;
};

inline std::string response(int Status, const std::string &Headers,
                            const std::string &Body) {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// The platform's store: keyed topics with one partition.
class Store {
public:
  Store()
      : Listener([this](Stream &Connection, const HttpMessage &Request) {
          Connection.sendAll(handle(Request));
        }) {}

  std::uint16_t port() const { return Listener.port(); }

  /// Writes the operator's configuration.
  void publish(const std::string &Document) {
    append("keyed.op", std::string("\x06") + "config" + Document);
  }

private:
  static std::string query(const std::string &Target, const std::string &Name) {
    std::size_t At = Target.find("?" + Name + "=");
    if (At == std::string::npos)
      At = Target.find("&" + Name + "=");
    if (At == std::string::npos)
      return {};
    const std::size_t From = At + Name.size() + 2;
    return Target.substr(From, Target.find('&', From) - From);
  }

  std::string handle(const HttpMessage &Request) {
    const std::string Target = Request.target();
    const std::string Topic = query(Target, "topic");
    if (Target.rfind("/log-append", 0) == 0) {
      if (Topic == "keyed.op" || Topic == "keyed.servers")
        return response(403, "", "");
      std::size_t Offset = 0;
      std::size_t At = 0;
      while (At + 4 <= Request.Body.size()) {
        const std::size_t Length = bigEndian(Request.Body, At, 4);
        Offset = append(Topic, Request.Body.substr(At + 4, Length));
        At += 4 + Length;
      }
      return response(200, "Content-Type: application/json\r\n",
                      "{\"offset\":" + std::to_string(Offset) +
                          ",\"end_offset\":" + std::to_string(Offset + 1) +
                          "}");
    }
    if (Target.rfind("/log-newest", 0) == 0)
      return response(200, "Content-Type: application/json\r\n",
                      newest(Topic, query(Target, "after")));
    return response(200, "",
                    readRecords(Topic, std::stoul(query(Target, "from_rev")),
                                std::stol("0" + query(Target, "wait_ms"))));
  }

  static std::size_t bigEndian(const std::string &Text, std::size_t At,
                               std::size_t Bytes) {
    std::size_t Result = 0;
    for (std::size_t Index = 0; Index < Bytes; ++Index)
      Result = (Result << 8U) | static_cast<unsigned char>(Text[At + Index]);
    return Result;
  }

  static std::string bigEndianText(std::size_t Value, std::size_t Bytes) {
    std::string Result;
    for (std::size_t Shift = Bytes * 8; Shift > 0; Shift -= 8)
      Result.push_back(static_cast<char>((Value >> (Shift - 8)) & 255U));
    return Result;
  }

  std::size_t append(const std::string &Topic, const std::string &Content) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Logs[Topic].push_back(Content);
    Changed.notify_all();
    return Logs[Topic].size() - 1;
  }

  std::string readRecords(const std::string &Topic, std::size_t From,
                          std::int64_t WaitMillis) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait_for(Lock, std::chrono::milliseconds(WaitMillis),
                     [&] { return Logs[Topic].size() > From; });
    const std::vector<std::string> &Log = Logs[Topic];
    std::string Result = bigEndianText(Log.size(), 8) + bigEndianText(0, 8);
    for (std::size_t Index = From; Index < Log.size(); ++Index)
      Result += bigEndianText(Log[Index].size(), 4) + Log[Index];
    return Result;
  }

  std::string newest(const std::string &Topic, const std::string &After) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::map<std::string, std::pair<std::string, std::size_t>> Values;
    const std::vector<std::string> &Log = Logs[Topic];
    for (std::size_t Index = 0; Index < Log.size(); ++Index) {
      const std::size_t KeyLength = static_cast<unsigned char>(Log[Index][0]);
      Values[Log[Index].substr(1, KeyLength)] = {
          Log[Index].substr(1 + KeyLength), Index};
    }
    std::string Items;
    for (const auto &[Key, Entry] : Values)
      if (Key > After && !Entry.first.empty())
        Items += (Items.empty() ? "{\"key\":\"" : ",{\"key\":\"") + Key +
                 "\",\"value\":\"" + base64(Entry.first) +
                 "\",\"offset\":" + std::to_string(Entry.second) + "}";
    return "{\"items\":[" + Items +
           "],\"has_more\":false,\"end_offset\":" + std::to_string(Log.size()) +
           "}";
  }

  static std::string base64(const std::string &Text) {
    constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijkl"
                                        "mnopqrstuvwxyz0123456789+/";
    std::string Result;
    for (std::size_t At = 0; At < Text.size(); At += 3) {
      std::uint32_t Bits = 0;
      for (std::size_t Index = 0; Index < 3; ++Index)
        Bits =
            (Bits << 8U) | (At + Index < Text.size()
                                ? static_cast<unsigned char>(Text[At + Index])
                                : 0U);
      for (std::size_t Index = 0; Index < 4; ++Index)
        Result.push_back(At + Index > Text.size()
                             ? '='
                             : Digits[(Bits >> (18 - 6 * Index)) & 63U]);
    }
    return Result;
  }

  std::mutex Mutex;
  std::condition_variable Changed;
  std::map<std::string, std::vector<std::string>> Logs;
  Server Listener;
};

/// A backend server that answers health checks and requests, and sends
/// heartbeats to the node beside it.
class Backend {
public:
  /// Runs a request that is meant for this server and answers it.
  using Runner = std::function<void(Stream &, const HttpMessage &)>;

  Backend(std::string Id, std::string Service, unsigned Slots, Runner Run)
      : Id(std::move(Id)), Service(std::move(Service)), Slots(Slots),
        Run(std::move(Run)),
        Listener([this](Stream &Connection, const HttpMessage &Request) {
          handle(Connection, Request);
        }) {}

  std::uint16_t port() const { return Listener.port(); }
  const std::string &service() const { return Service; }

  /// Sends heartbeats to \p ControlPort from now on.
  void reportTo(std::uint16_t ControlPort) {
    std::thread([this, ControlPort] {
      for (int Sequence = 1;; ++Sequence) {
        report(ControlPort, Sequence);
        sleepMillis(1500);
      }
    }).detach();
  }

  /// \returns the headers of an answer to \p Request.
  static std::string answerHeaders(const HttpMessage &Request) {
    const std::string RequestId = Request.header("Request-Id");
    return "Request-Id: " + RequestId + "\r\nResponse-Stamp: s-" + RequestId +
           "\r\n";
  }

private:
  void handle(Stream &Connection, const HttpMessage &Request) {
    if (Request.target() == "/health") {
      Connection.sendAll(response(200,
                                  "Instance-Id: " + Id +
                                      "\r\nServer-Load: 0,0," +
                                      std::to_string(Slots) + "\r\n",
                                  ""));
      return;
    }
    const std::string Expected = Request.header("Expect-Instance");
    if (!Expected.empty() && Expected != Id) {
      Connection.sendAll(response(421, "Instance-Id: " + Id + "\r\n", ""));
      return;
    }
    Run(Connection, Request);
  }

  void report(std::uint16_t ControlPort, int Sequence) const {
    const std::shared_ptr<Stream> Connection = connectTo(ControlPort);
    if (!Connection)
      return;
    const std::string Body =
        "{\"service\":\"" + Service + "\",\"address\":\"" +
        addressOf(Listener.port()) +
        "\",\"zone\":\"z\",\"version\":\"v1\",\"slots\":" +
        std::to_string(Slots) +
        ",\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":" +
        std::to_string(Sequence) + ",\"born\":" + std::to_string(Born) + "}";
    Connection->sendAll("PUT /instances/" + Id +
                        " HTTP/1.1\r\nHost: c\r\nContent-Type: "
                        "application/json\r\nContent-Length: " +
                        std::to_string(Body.size()) + "\r\n\r\n" + Body);
    HttpMessage Answer;
    (void)Connection->read(Answer, 1000);
  }

  std::string Id;
  std::string Service;
  unsigned Slots;
  Runner Run;
  std::int64_t Born = unixMillis();
  Server Listener;
};

/// A node in a process of its own, started like the deploy file says with the
/// settings of platform/node.json.tmpl.
class Node {
public:
  Node(std::string Name, const Backend &Local, std::uint16_t StorePort,
       const std::filesystem::path &Folder)
      : CallPort(freePort()), ReadyPort(freePort()), ControlPort(freePort()),
        PeerPort(freePort()), MetricsPort(freePort()),
        Settings((Folder / (Name + ".json")).string()),
        Output((Folder / (Name + ".log")).string()), Name(std::move(Name)) {
    writeSettings(Local, StorePort, /*FirstStart=*/true);
    start();
    writeSettings(Local, StorePort, /*FirstStart=*/false);
  }
  ~Node() { kill(); }
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  void start() {
    Pid = ::fork();
    if (Pid != 0)
      return;
    // The thread that starts the nodes is the main thread of the script.
    (void)::prctl(PR_SET_PDEATHSIG, SIGKILL);
    (void)std::freopen(Output.c_str(), "a", stdout);
    (void)std::freopen(Output.c_str(), "a", stderr);
    ::execl("target/bin/camphorpind", "target/bin/camphorpind", "--settings",
            Settings.c_str(), nullptr);
    ::_exit(127);
  }

  void signal(int Number) const {
    if (Pid > 0)
      ::kill(Pid, Number);
  }

  void kill() {
    if (Pid <= 0)
      return;
    ::kill(Pid, SIGKILL);
    ::waitpid(Pid, nullptr, 0);
    Pid = 0;
  }

  /// \returns true if the process has ended by itself; \p Status is its wait
  /// status.
  bool ended(int &Status) {
    if (Pid <= 0 || ::waitpid(Pid, &Status, WNOHANG) != Pid)
      return false;
    Pid = 0;
    return true;
  }

  /// \returns the resident memory of the process.
  std::size_t residentMegabytes() const {
    std::ifstream File("/proc/" + std::to_string(Pid) + "/status");
    std::string Line;
    while (std::getline(File, Line))
      if (Line.rfind("VmRSS:", 0) == 0)
        return std::strtoull(Line.c_str() + 6, nullptr, 10) / 1024;
    return 0;
  }

  /// Asks the node whether it is ready, as the platform does.
  bool ready() const {
    const std::shared_ptr<Stream> Connection = connectTo(ReadyPort);
    HttpMessage Answer;
    return Connection &&
           Connection->sendAll("GET /ready HTTP/1.1\r\nHost: r\r\n\r\n") &&
           Connection->read(Answer, 1000) == ReadResult::Complete &&
           Answer.status() == 200;
  }

  const std::string &name() const { return Name; }

  const std::uint16_t CallPort;
  const std::uint16_t ReadyPort;
  const std::uint16_t ControlPort;
  const std::uint16_t PeerPort;
  const std::uint16_t MetricsPort;

  /// The memory limit of the machines of the two standard deployments.
  static constexpr std::size_t MemoryMegabytes = 260;

private:
  void writeSettings(const Backend &Local, std::uint16_t StorePort,
                     bool FirstStart) const {
    std::ofstream(Settings)
        << "{ \"gateway\": {\n  \"node\": \"" << Name
        << "\",\n  \"zone\": \"z\",\n  \"service\": \"" << Local.service()
        << "\",\n  \"callAddress\": \"" << addressOf(CallPort)
        << "\",\n  \"readyAddress\": \"" << addressOf(ReadyPort)
        << "\",\n  \"reportAddress\": \"" << addressOf(ControlPort)
        << "\",\n  \"peerAddress\": \"" << addressOf(PeerPort)
        << "\",\n  \"metricsAddress\": \"" << addressOf(MetricsPort)
        << "\",\n  \"backendAddress\": \"" << addressOf(Local.port())
        << "\",\n  \"storeAddress\": \"" << addressOf(StorePort)
        << "\",\n  \"firstStart\": " << (FirstStart ? "true" : "false")
        << ",\n  \"memoryMb\": " << MemoryMegabytes
        << ",\n  \"platformBounds\": [\"0=stable_window_ms=3000\","
           "\"1=drain_ms=2000\",\"2=grace_s=6\",\"3=config_apply_ms=2000\","
           "\"4=retry_budget_ratio=0.2\",\"5=budget_window_s=10\","
           "\"6=budget_slack=50\"]\n} }\n";
  }

  std::string Settings;
  std::string Output;
  std::string Name;
  pid_t Pid = 0;
};

/// Does with processes what the platform does: kills one that exceeds its
/// memory, and starts it again.
class MemoryGuard {
public:
  MemoryGuard(Record &Log, std::vector<Node *> Nodes)
      : Log(Log), Nodes(std::move(Nodes)) {}

  /// Watches the processes for \p Millis or until \p Done is true.
  void watch(std::int64_t Millis, const std::atomic<bool> &Done) {
    const std::int64_t Until = nowMillis() + Millis;
    while (nowMillis() < Until && !Done) {
      for (Node *Item : Nodes)
        check(*Item);
      sleepMillis(5);
    }
  }

  /// \returns how many processes exceeded their memory or ended by themselves.
  int ends() const { return Ends; }

private:
  static constexpr std::int64_t RestartMillis = 500;

  void check(Node &Item) {
    int Status = 0;
    const std::size_t Megabytes = Item.residentMegabytes();
    std::size_t &Peak = Peaks[Item.name()];
    if (Megabytes >= Peak + 20)
      Log.line("%s holds %zu MB", Item.name().c_str(), Megabytes);
    Peak = std::max(Peak, Megabytes / 20 * 20);
    if (Item.ended(Status)) {
      Log.line("%s has ended by itself, wait status %d", Item.name().c_str(),
               Status);
    } else if (Megabytes > Node::MemoryMegabytes) {
      Log.line("platform: %s exceeds %zu MB and is killed", Item.name().c_str(),
               Node::MemoryMegabytes);
      Item.kill();
    } else {
      return;
    }
    ++Ends;
    Peak = 0;
    sleepMillis(RestartMillis);
    Item.start();
  }

  Record &Log;
  std::vector<Node *> Nodes;
  std::map<std::string, std::size_t> Peaks;
  int Ends = 0;
};

/// One route of a configuration.
struct Route {
  std::string Name;
  std::string Prefix;
  std::string Service;
  bool Idempotent = true;
  int TimeoutMillis = 6000;
  int ObjectiveMillis = 4000;
  int MaxAttempts = 2;
};

/// \returns a configuration with the limits that the pages show.
inline std::string configuration(int Version, const std::vector<Route> &Routes,
                                 const std::vector<std::string> &Services) {
  std::string Result =
      "{\"version\":\"r" + std::to_string(Version) + "\",\"routes\":[";
  for (const Route &Item : Routes)
    Result += std::string(&Item == Routes.data() ? "" : ",") + "{\"name\":\"" +
              Item.Name + "\",\"host\":\"h.example\",\"path_prefix\":\"" +
              Item.Prefix + "\",\"route_type\":\"" +
              (Item.Idempotent ? "idempotent" : "non_idempotent") +
              "\",\"timeout_ms\":" + std::to_string(Item.TimeoutMillis) +
              ",\"target_latency_ms\":" + std::to_string(Item.ObjectiveMillis) +
              ",\"priority\":1,\"service\":\"" + Item.Service +
              "\",\"max_attempts\":" + std::to_string(Item.MaxAttempts) + "}";
  Result += "],\"services\":[";
  for (const std::string &Service : Services)
    Result += std::string(&Service == Services.data() ? "" : ",") +
              "{\"name\":\"" + Service +
              "\",\"health_check_path\":\"/health\",\"max_connections\":376}";
  return Result + "],\"limits\":{\"max_header_bytes\":16384,"
                  "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                  "\"idle_timeout_ms\":15000}}";
}

/// \returns a request of a client.
inline std::string request(const std::string &Method, const std::string &Path,
                           const std::string &Id, int DeadlineMillis,
                           const std::string &Body = "") {
  std::string Result = Method + " " + Path +
                       " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: " + Id +
                       "\r\nDeadline-Ms: " + std::to_string(DeadlineMillis) +
                       "\r\n";
  if (!Body.empty() || Method != "GET")
    Result += "Content-Length: " + std::to_string(Body.size()) + "\r\n";
  return Result + "\r\n" + Body;
}

/// Waits until all nodes are ready and \p Path is answered with 200 at each.
inline bool waitUntilServing(const std::vector<const Node *> &Nodes,
                             const std::string &Path,
                             std::int64_t WithinMillis) {
  const std::int64_t Until = nowMillis() + WithinMillis;
  int Attempt = 0;
  for (const Node *Item : Nodes) {
    while (true) {
      if (nowMillis() > Until)
        return false;
      const std::shared_ptr<Stream> Connection = connectTo(Item->CallPort);
      HttpMessage Answer;
      if (Item->ready() && Connection &&
          Connection->sendAll(request(
              "GET", Path, "warm-" + std::to_string(++Attempt), 1000)) &&
          Connection->read(Answer, 2000) == ReadResult::Complete &&
          Answer.status() == 200)
        break;
      sleepMillis(50);
    }
  }
  return true;
}

inline bool troubleWanted() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string_view(Value) != "0";
}

/// A folder for settings and logs. remove() deletes it unless KEEP_FILES is
/// set.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(Template.data()) == nullptr)
      std::exit(CouldNotRun);
    Path = Template;
  }
  void remove() const {
    std::error_code Ignored;
    if (std::getenv("KEEP_FILES") == nullptr)
      std::filesystem::remove_all(Path, Ignored);
  }
  std::filesystem::path Path;
};

} // namespace review

#endif
