#ifndef CAMPHORPIN_SRC_GATEWAY_NETWORKDISSEMINATORCONTEXT_H
#define CAMPHORPIN_SRC_GATEWAY_NETWORKDISSEMINATORCONTEXT_H

#include "camphorpin/src/Gateway/PeerNetwork.h"
#include "camphorpin/src/Gateway/PeerServer.h"
#include "camphorpin/src/Gateway/UpdateDisseminator.h"
#include "camphorpin/src/Http/EventLoop.h"

#include <functional>
#include <string>

namespace camphorpin {

/// \class NetworkDisseminatorContext
/// \brief Implements DisseminatorContext over the connections of the node.
class NetworkDisseminatorContext final : public DisseminatorContext {
public:
  /// \param Known returns the configuration version and the member digest of
  /// this node.
  /// \param Wake is called when the time set by scheduleWakeup() has elapsed.
  NetworkDisseminatorContext(EventLoop &Loop, Random &RandomSource,
                             PeerNetwork &Network, PeerServer &InboundPeers,
                             std::function<PeerDigest()> Known,
                             std::function<void()> Wake)
      : RandomSource(RandomSource), Network(Network),
        InboundPeers(InboundPeers), Known(std::move(Known)),
        Wake(std::move(Wake)), Timer(Loop) {}

  PeerDigest known() const override { return Known(); }
  const NodeDirectory &directory() const override {
    return Network.directory();
  }
  bool reachable(const std::string &Node) const override {
    return Network.reachable(Node);
  }
  void send(const std::string &Node, const PeerFrame &Frame) override {
    Network.send(Node, Frame);
  }
  void sendToInboundPeer(const std::string &Node,
                         const PeerFrame &Frame) override {
    InboundPeers.send(Node, Frame);
  }
  void sendToAnyInboundPeer(const PeerFrame &Frame) override {
    InboundPeers.sendToAny(Frame, RandomSource);
  }
  void scheduleWakeup(Duration Span) override;

private:
  Random &RandomSource;
  PeerNetwork &Network;
  PeerServer &InboundPeers;
  std::function<PeerDigest()> Known;
  std::function<void()> Wake;
  boost::asio::steady_timer Timer;
};

} // namespace camphorpin

#endif
