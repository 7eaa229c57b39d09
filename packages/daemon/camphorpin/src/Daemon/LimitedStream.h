#ifndef CAMPHORPIN_SRC_DAEMON_LIMITEDSTREAM_H
#define CAMPHORPIN_SRC_DAEMON_LIMITEDSTREAM_H

#include "camphorpin/src/Http/ByteBudget.h"

#include <kj/async-io.h>
#include <kj/timer.h>
#include <memory>

namespace camphorpin::detail {

/// \class LimitedStream
/// \brief A connection whose other side can make this one hold only a limited
/// number of bytes of a message, for a limited time.
///
/// The RPC library allocates a message when its size has arrived, and then
/// waits for its bytes without a time limit.
class LimitedStream final : public kj::AsyncIoStream {
public:
  /// \param Budget counts the bytes of messages that are being received.
  /// \param Timer must outlive the stream.
  LimitedStream(kj::Own<kj::AsyncIoStream> Inner,
                std::shared_ptr<ByteBudget> Budget, kj::Timer &Timer)
      : Inner(kj::mv(Inner)), Budget(std::move(Budget)), Timer(Timer),
        LastRead(Timer.now()) {}

  /// \returns when bytes were last received.
  kj::TimePoint lastRead() const { return LastRead; }

  kj::Promise<std::size_t> tryRead(void *Target, std::size_t MinBytes,
                                   std::size_t MaxBytes) override;
  kj::Promise<void> write(const void *Source, std::size_t Bytes) override {
    return Inner->write(Source, Bytes);
  }
  kj::Promise<void>
  write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces) override {
    return Inner->write(Pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override {
    return Inner->whenWriteDisconnected();
  }
  void shutdownWrite() override { Inner->shutdownWrite(); }
  void abortRead() override { Inner->abortRead(); }

private:
  kj::Own<kj::AsyncIoStream> Inner;
  std::shared_ptr<ByteBudget> Budget;
  kj::Timer &Timer;
  kj::TimePoint LastRead;
};

} // namespace camphorpin::detail

#endif
