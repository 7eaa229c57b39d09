#ifndef CAMPHORPIN_SRC_DAEMON_RPCENVIRONMENT_H
#define CAMPHORPIN_SRC_DAEMON_RPCENVIRONMENT_H

#include "camphorpin/src/Daemon/RpcThread.h"

#include <capnp/message.h>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <kj/async-io.h>

namespace camphorpin::detail {

/// \class RpcEnvironment
/// \brief What the connections on the RPC thread share.
class RpcEnvironment final : public kj::TaskSet::ErrorHandler {
public:
  RpcEnvironment(const RpcOptions &Options, EventQueue &Events, EventLog &Log,
                 kj::AsyncIoContext &Io)
      : Options(Options), Events(Events), Log(Log), Io(Io), Tasks(*this) {}

  /// Runs \p Open when fewer than MaxOpening connections are being opened, so
  /// that a restart causes no connection storm. openFinished() must follow.
  void whenMayOpen(std::function<void()> Open);
  void openFinished();

  /// Bounds what one message may hold. The limit counts each visit to a part
  /// of the message, hence the factor.
  capnp::ReaderOptions readerOptions() const;

  /// \returns the size of the largest message that is accepted.
  std::size_t maxMessageBytes() const;

  void fillIdentity(wire::Identity::Builder Target) const;

  kj::TimePoint now() const { return Io.provider->getTimer().now(); }

  void taskFailed(kj::Exception &&Error) override;

  const RpcOptions &Options;
  EventQueue &Events;
  EventLog &Log;
  kj::AsyncIoContext &Io;
  kj::TaskSet Tasks;

private:
  static constexpr std::size_t MaxOpening = 4;

  std::size_t Opening = 0;
  std::deque<std::function<void()>> Waiting;
};

} // namespace camphorpin::detail

#endif
