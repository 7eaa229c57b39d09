#ifndef CAMPHORPIN_SRC_GATEWAY_PEERCHANNEL_H
#define CAMPHORPIN_SRC_GATEWAY_PEERCHANNEL_H

#include "camphorpin/src/Gateway/EventLoop.h"
#include "camphorpin/src/Gateway/PeerMessages.h"

#include <functional>
#include <memory>
#include <string>

namespace camphorpin {

/// \class PeerChannel
/// \brief A connection that carries frames in both directions.
class PeerChannel final : public std::enable_shared_from_this<PeerChannel> {
public:
  /// \class Listener
  /// \brief Receives what happens on a channel.
  class Listener {
  public:
    virtual ~Listener() = default;
    virtual void onFrame(PeerFrame Frame) = 0;
    virtual void onClosed() = 0;
  };

  explicit PeerChannel(TcpSocket Socket) : Socket(std::move(Socket)) {}

  /// Starts reading. \p Target must stay valid until close().
  void start(Listener &Target);

  /// Sends a frame. Frames sent in one turn of the event loop share a write.
  void send(const PeerFrame &Frame);

  /// Closes without a notice to the listener.
  void close();

  /// \returns the bytes that wait to be written.
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
