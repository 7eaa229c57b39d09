#include "StandinServer.h"

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <pthread.h>
#include <sys/socket.h>
#include <thread>

namespace camphorpin::standins {

namespace {

constexpr int ListenBacklog = 1024;
constexpr std::size_t RequestsPerConnection = 1000000000;
constexpr time_t KeepAliveSeconds = 60;

thread_local bool BeyondLimit = false;

class ConnectionThreads final : public httplib::TaskQueue {
public:
  explicit ConnectionThreads(std::size_t Limit) : Limit(Limit) {}

  void enqueue(std::function<void()> Serve) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    const bool Beyond = Active >= Limit;
    ++Active;
    std::thread([this, Beyond, Serve = std::move(Serve)] {
      BeyondLimit = Beyond;
      Serve();
      const std::lock_guard<std::mutex> Lock(Mutex);
      --Active;
      Ended.notify_all();
    }).detach();
  }

  void shutdown() override {
    std::unique_lock<std::mutex> Lock(Mutex);
    Ended.wait(Lock, [this] { return Active == 0; });
  }

private:
  std::size_t Limit;
  std::mutex Mutex;
  std::condition_variable Ended;
  std::size_t Active = 0;
};

httplib::Server::HandlerResponse shedBeyondLimit(const httplib::Request &,
                                                 httplib::Response &Reply) {
  if (!BeyondLimit)
    return httplib::Server::HandlerResponse::Unhandled;
  Reply.status = 503;
  Reply.set_header("Camphorpin-Shed", "not-run");
  Reply.set_header("Connection", "close");
  return httplib::Server::HandlerResponse::Handled;
}

} // namespace

StandinServer::StandinServer(std::size_t ConnectionLimit) {
  Server.new_task_queue = [ConnectionLimit] {
    return new ConnectionThreads(ConnectionLimit);
  };
  Server.set_pre_routing_handler(shedBeyondLimit);
  Server.set_tcp_nodelay(true);
  Server.set_keep_alive_max_count(RequestsPerConnection);
  Server.set_keep_alive_timeout(KeepAliveSeconds);
  Server.set_socket_options([this](socket_t Socket) {
    const int Yes = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &Yes, sizeof Yes);
    ListenSocket = Socket;
  });
}

void StandinServer::run(const Endpoint &Address,
                        const std::function<void()> &OnStop) {
  sigset_t Stop;
  sigemptyset(&Stop);
  sigaddset(&Stop, SIGTERM);
  sigaddset(&Stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stop, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  if (!Server.bind_to_port(Address.Ip, Address.Port)) {
    std::fprintf(stderr, "cannot bind %s\n", Address.toString().c_str());
    std::exit(1);
  }
  // The library listens with a backlog of 5, which drops connections when many
  // callers start together.
  ::listen(ListenSocket, ListenBacklog);
  std::thread Stopper([&] {
    int Signal = 0;
    sigwait(&Stop, &Signal);
    OnStop();
    Server.stop();
  });
  Server.listen_after_bind();
  Stopper.join();
}

} // namespace camphorpin::standins
