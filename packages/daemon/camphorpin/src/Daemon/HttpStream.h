#ifndef CAMPHORPIN_SRC_DAEMON_HTTPSTREAM_H
#define CAMPHORPIN_SRC_DAEMON_HTTPSTREAM_H

#include "camphorpin/src/Daemon/Settings.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <httplib.h>
#include <string>
#include <string_view>
#include <utility>

namespace camphorpin {

/// \class HttpStream
/// \brief The bytes of one HTTP connection, within the limits of the settings.
///
/// The HTTP library bounds neither the number of headers nor the time that a
/// request takes to arrive, only the wait for each piece. This stream ends a
/// request that exceeds either. It writes an answer in one piece.
class HttpStream final : public httplib::Stream {
public:
  /// \param Socket is closed by the destructor.
  /// \param Crowded returns true while other requests wait for a thread.
  HttpStream(int Socket, const HttpLimits &Limits,
             std::function<bool()> Crowded);
  ~HttpStream() override;
  HttpStream(const HttpStream &) = delete;
  HttpStream &operator=(const HttpStream &) = delete;

  /// Starts the byte count of a new request.
  /// \param Begin when its first byte had arrived.
  void beginRequest(std::chrono::steady_clock::time_point Begin);

  /// \returns true if bytes have been read and not taken yet.
  bool hasInput() const { return InputBegin < InputEnd; }

  /// From now on the bytes are those of the body, which has its own bound.
  void endHeaders() { InHeaders = false; }

  /// Sends what was written.
  /// \returns false if the connection is broken.
  bool flush();

  /// Sends \p Text instead of what was written and not sent yet.
  void replaceOutput(std::string Text) { Output = std::move(Text); }

  /// \returns what was written and not sent yet.
  std::string_view unsent() const { return Output; }

  /// \returns true if the request was ended because it exceeded the bound on
  /// headers.
  bool headersTooLarge() const { return TooLarge; }

  /// \returns true if the request was ended because it took too long.
  bool tooSlow() const { return Slow; }

  /// \returns the bytes of the current request that arrived.
  std::size_t received() const { return Received; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char *Target, std::size_t Size) override;
  ssize_t write(const char *Source, std::size_t Size) override;
  void get_remote_ip_and_port(std::string &Ip, int &Port) const override;
  void get_local_ip_and_port(std::string &Ip, int &Port) const override;
  int socket() const override { return Socket; }

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  bool fill();
  bool waitFor(short Events, std::chrono::milliseconds Timeout) const;
  /// Waits until \p End for the other side of a transfer that began at \p
  /// Begin. \param Bytes that were transferred since then. \returns false if it
  /// takes too long, or too long for a crowded server.
  bool waitForTransfer(short Events, TimePoint Begin, TimePoint End,
                       std::size_t Bytes) const;

  const int Socket;
  const HttpLimits &Limits;
  const std::function<bool()> Crowded;
  std::array<char, 16384> Input{};
  std::size_t InputBegin = 0;
  std::size_t InputEnd = 0;
  std::string Output;
  TimePoint RequestBegin;
  std::size_t Received = 0;
  bool InHeaders = true;
  bool TooLarge = false;
  bool Slow = false;
};

} // namespace camphorpin

#endif
