#include "camphorpin/src/Gateway/PeerChannel.h"

#include <algorithm>
#include <array>
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

/// Empties \p Buffer, and returns its memory if it was large.
void releaseBytes(std::string &Buffer) {
  constexpr std::size_t MaxKeptBytes = std::size_t(64) << 10U;
  Buffer.clear();
  if (Buffer.capacity() > MaxKeptBytes)
    Buffer.shrink_to_fit();
}

} // namespace

void PeerChannel::setLimits(std::size_t FrameBytes,
                            std::shared_ptr<ByteBudget> Budget) {
  MaxFrameBytes = FrameBytes;
  Input = std::make_unique<BudgetShare>(Budget);
  Unsent = std::make_unique<BudgetShare>(std::move(Budget));
}

void PeerChannel::start(Listener &Value) {
  Target = &Value;
  detail::setSocketOptions(Socket, AckTimeout);
  boost::system::error_code Ignored;
  Socket.non_blocking(true, Ignored);
  read();
}

void PeerChannel::read() {
  Socket.async_wait(
      TcpSocket::wait_read,
      [Self = shared_from_this()](const boost::system::error_code &Error) {
        if (!Self->Closed)
          Self->onReadable(Error);
      });
}

void PeerChannel::onReadable(const boost::system::error_code &WaitError) {
  // An idle connection holds no buffer.
  std::array<char, ReadBytes> Chunk;
  boost::system::error_code Error = WaitError;
  const std::size_t Bytes =
      Error ? 0 : Socket.read_some(boost::asio::buffer(Chunk), Error);
  if (Error && Error != boost::asio::error::would_block) {
    fail();
    return;
  }
  onRead(std::string_view(Chunk.data(), Bytes));
  if (!Closed)
    read();
}

void PeerChannel::onRead(std::string_view Bytes) {
  InputBuffer.append(Bytes);
  const std::size_t Taken = handleFrames();
  if (Closed)
    return;
  InputBuffer.erase(0, Taken);
  if (InputBuffer.empty() && InputBuffer.capacity() > ReadBytes)
    InputBuffer.shrink_to_fit();
  if (!reserveInput())
    fail();
}

std::size_t PeerChannel::handleFrames() {
  std::size_t Taken = 0;
  while (!Closed && !Failing) {
    detail::DecodedFrame Next = detail::decodeFrame(
        std::string_view(InputBuffer).substr(Taken), MaxFrameBytes);
    if (Next.State == detail::DecodeState::Incomplete)
      break;
    if (Next.State == detail::DecodeState::Malformed) {
      fail();
      break;
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
  return Taken;
}

bool PeerChannel::reserveInput() {
  const std::size_t Bytes = detail::frameBytes(InputBuffer);
  if (Input && !Input->resize(std::max(Bytes, InputBuffer.capacity())))
    return false;
  if (Bytes > InputBuffer.capacity())
    InputBuffer.reserve(Bytes);
  return true;
}

void PeerChannel::send(const PeerFrame &Frame) {
  if (Closed || Failing)
    return;
  if (unsent() > MaxUnsentBytes) {
    failLater();
    return;
  }
  detail::encodeFrame(Frame, OutputBuffer);
  if (Unsent && !Unsent->resize(unsent())) {
    failLater();
    return;
  }
  scheduleWrite();
}

void PeerChannel::failLater() {
  Failing = true;
  boost::asio::post(Socket.get_executor(),
                    [Self = shared_from_this()] { Self->fail(); });
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
        releaseBytes(Self->InFlight);
        if (Self->Unsent)
          Self->Unsent->set(Self->unsent());
        if (Self->Closed)
          return;
        if (Error) {
          Self->fail();
          return;
        }
        Self->Target->onWritten();
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
  releaseBytes(InputBuffer);
  Input.reset();
  // A pending write refers to InFlight until its handler is called.
  releaseBytes(OutputBuffer);
}

} // namespace camphorpin
