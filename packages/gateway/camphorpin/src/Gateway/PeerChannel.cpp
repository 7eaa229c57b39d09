#include "camphorpin/src/Gateway/PeerChannel.h"

#include "camphorpin/src/Gateway/PeerCodec.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace camphorpin {

namespace {

constexpr std::size_t ReadBytes = 16384;
/// Unsent bytes above which no further frame is queued and the connection
/// fails: the peer reads too slowly, or not at all.
constexpr std::size_t MaxUnsentBytes = 32U << 20U;
/// How long sent bytes may stay unacknowledged before the connection fails.
constexpr Duration AckTimeout = Duration::millis(1500);

} // namespace

void PeerChannel::start(Listener &Value) {
  Target = &Value;
  detail::setSocketOptions(Socket, AckTimeout);
  read();
}

void PeerChannel::read() {
  const std::size_t Used = InputBuffer.size();
  InputBuffer.resize(Used + ReadBytes);
  Socket.async_read_some(
      boost::asio::buffer(InputBuffer.data() + Used, ReadBytes),
      [Self = shared_from_this(), Used](const boost::system::error_code &Error,
                                        std::size_t Bytes) {
        if (Self->Closed)
          return;
        Self->InputBuffer.resize(Used + (Error ? 0 : Bytes));
        Self->onRead(Error, Bytes);
      });
}

void PeerChannel::onRead(const boost::system::error_code &Error, std::size_t) {
  if (Error) {
    fail();
    return;
  }
  std::size_t Taken = 0;
  while (!Closed) {
    detail::DecodedFrame Next =
        detail::decodeFrame(std::string_view(InputBuffer).substr(Taken));
    if (Next.State == detail::DecodeState::Incomplete)
      break;
    if (Next.State == detail::DecodeState::Malformed) {
      fail();
      return;
    }
    Taken += Next.Bytes;
    try {
      Target->onFrame(std::move(Next.Frame));
    } catch (...) {
      // The rest of the stream is not read, so the connection ends.
      fail();
      throw;
    }
  }
  if (Closed)
    return;
  InputBuffer.erase(0, Taken);
  if (InputBuffer.empty() && InputBuffer.capacity() > 4 * ReadBytes)
    InputBuffer.shrink_to_fit();
  read();
}

void PeerChannel::send(const PeerFrame &Frame) {
  if (Closed)
    return;
  if (unsent() > MaxUnsentBytes) {
    boost::asio::post(Socket.get_executor(),
                      [Self = shared_from_this()] { Self->fail(); });
    return;
  }
  detail::encodeFrame(Frame, OutputBuffer);
  scheduleWrite();
}

void PeerChannel::scheduleWrite() {
  if (WriteScheduled || !InFlight.empty())
    return;
  WriteScheduled = true;
  boost::asio::post(Socket.get_executor(), [Self = shared_from_this()] {
    Self->WriteScheduled = false;
    Self->write();
  });
}

void PeerChannel::write() {
  if (Closed || OutputBuffer.empty() || !InFlight.empty())
    return;
  InFlight.swap(OutputBuffer);
  boost::asio::async_write(
      Socket, boost::asio::buffer(InFlight),
      [Self = shared_from_this()](const boost::system::error_code &Error,
                                  std::size_t) {
        Self->InFlight.clear();
        if (Self->Closed)
          return;
        if (Error)
          Self->fail();
        else
          Self->write();
      });
}

void PeerChannel::fail() {
  if (Closed)
    return;
  Listener *Receiver = Target;
  close();
  Receiver->onClosed();
}

void PeerChannel::close() {
  if (Closed)
    return;
  Closed = true;
  Target = nullptr;
  boost::system::error_code Ignored;
  Socket.close(Ignored);
}

} // namespace camphorpin
