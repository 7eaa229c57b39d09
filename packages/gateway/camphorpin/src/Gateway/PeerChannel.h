#ifndef CAMPHORPIN_SRC_GATEWAY_PEERCHANNEL_H
#define CAMPHORPIN_SRC_GATEWAY_PEERCHANNEL_H

#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Http/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace camphorpin {

/// \class PeerChannel
/// \brief A bidirectional connection that carries frames.
class PeerChannel final : public std::enable_shared_from_this<PeerChannel> {
public:
  /// \class Listener
  /// \brief Receives the frames of a channel and its end.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onFrame(PeerFrame Frame) = 0;
    virtual void onClosed() = 0;
  };

  explicit PeerChannel(TcpSocket Socket) : Socket(std::move(Socket)) {}

  /// Starts reading. \p Target must stay valid until close().
  void start(Listener &Target);

  /// Queues a frame. Frames queued in one iteration of the event loop are sent
  /// in one write.
  void send(const PeerFrame &Frame);

  /// Closes the connection without notifying the listener.
  void close();

  /// \returns the number of bytes not written yet.
  std::size_t unsent() const { return OutputBuffer.size() + InFlight.size(); }

private:
  void read();
  void onRead(const boost::system::error_code &Error, std::size_t Bytes);
  void scheduleWrite();
  void write();
  void fail();

  TcpSocket Socket;
  Listener *Target = nullptr;
  std::string InputBuffer;
  std::string OutputBuffer;
  std::string InFlight;
  bool WriteScheduled = false;
  bool Closed = false;
};

} // namespace camphorpin

#endif
