#ifndef CAMPHORPIN_SRC_GATEWAY_NEWSEXCHANGE_H
#define CAMPHORPIN_SRC_GATEWAY_NEWSEXCHANGE_H

#include "camphorpin/src/Gateway/EventLoop.h"
#include "camphorpin/src/Gateway/PeerNetwork.h"
#include "camphorpin/src/Gateway/PeerServer.h"

#include <functional>
#include <string>

namespace camphorpin {

/// \class NewsExchange
/// \brief Decides when a node tells its peers what it knows from the platform's
/// store, and when it asks them.
///
/// Every node reads the store itself. The exchange is for nodes that the store
/// turns away, and for those whose open read has gone silent without an error:
/// a node that learns something new tells a few random nodes, which ask for it
/// if the store has not told them soon after, and tell others in turn. So news
/// reaches all nodes in about log(n) steps, also where requests stay within an
/// availability zone and no answers carry it.
class NewsExchange {
public:
  /// \param State returns what this node knows.
  NewsExchange(EventLoop &Loop, const Clock &Time, Random &Source,
               PeerNetwork &Network, PeerServer &Peers,
               std::function<PeerNotice()> State);

  /// This node has learned something that it did not know.
  void onLearned();

  /// A peer has told what it knows.
  void onNotice(const std::string &Node, const PeerNotice &Told);

  /// Periodic work, every half second.
  /// \param StoreAway this node can't read the store at present.
  void tick(bool StoreAway);

  /// \returns a request for what this node lacks.
  PeerNewsRequest request() const;

private:
  void announce();
  void askWanted();
  bool lacks(const PeerNotice &Told) const;

  const Clock &Time;
  Random &Source;
  PeerNetwork &Network;
  PeerServer &Peers;
  std::function<PeerNotice()> State;
  boost::asio::steady_timer AnnounceTimer;
  boost::asio::steady_timer AskTimer;
  bool Announcing = false;
  bool Asking = false;
  /// The newest state that a peer has told and this node lacks.
  PeerNotice Wanted;
  std::string WantedFrom;
  Instant LastRequest;
};

} // namespace camphorpin

#endif
