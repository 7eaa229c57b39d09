#ifndef CAMPHORPIN_SRC_GATEWAY_PEERCHANNEL_H
#define CAMPHORPIN_SRC_GATEWAY_PEERCHANNEL_H

#include "camphorpin/src/Gateway/PeerCodec.h"
#include "camphorpin/src/Gateway/PeerMessages.h"
#include "camphorpin/src/Http/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

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
    /// Queued bytes have been written: unsent() is smaller than before.
    virtual void onWritten() {}
    virtual void onClosed() = 0;
  };

  explicit PeerChannel(TcpSocket Socket) : Socket(std::move(Socket)) {}

  /// Bounds what the other side may make this one hold: the connection fails if
  /// a frame is larger than \p FrameBytes, or if \p Budget has no room for what
  /// has been received in part or is not sent yet. Must be called before
  /// start().
  void setLimits(std::size_t FrameBytes, std::shared_ptr<ByteBudget> Budget);

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
  void onReadable(const boost::system::error_code &Error);
  void onRead(std::string_view Bytes);
  /// Passes the whole frames at the start of the input to the listener.
  /// \returns the bytes that they take.
  std::size_t handleFrames();
  /// Prepares for the rest of a frame that has arrived in part.
  /// \returns false if it exceeds a limit.
  bool reserveInput();
  /// Fails in a later iteration of the event loop.
  void failLater();
  void scheduleWrite();
  void write();
  void fail();

  TcpSocket Socket;
  Listener *Target = nullptr;
  std::string InputBuffer;
  std::string OutputBuffer;
  std::string InFlight;
  std::size_t MaxFrameBytes = detail::MaxFrameBytes;
  std::unique_ptr<BudgetShare> Input;
  std::unique_ptr<BudgetShare> Unsent;
  /// The connection is about to fail; no further frame is handled.
  bool Failing = false;
  bool WriteScheduled = false;
  bool Closed = false;
};

} // namespace camphorpin

#endif
