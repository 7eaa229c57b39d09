#ifndef CAMPHORPIN_SRC_HTTP_BLOCKINGHTTPCLIENT_H
#define CAMPHORPIN_SRC_HTTP_BLOCKINGHTTPCLIENT_H

#include "camphorpin/src/Http/HttpConnection.h"

#include <memory>

namespace camphorpin {

/// \class BlockingHttpClient
/// \brief Exchanges with one server for a thread that waits for each of them.
///
/// The connection is kept for the next exchange. A request is sent once and
/// never repeated, also if the kept connection turns out to be closed.
class BlockingHttpClient {
public:
  explicit BlockingHttpClient(const HostAddress &Address) : Address(Address) {}
  ~BlockingHttpClient() { disconnect(); }
  BlockingHttpClient(const BlockingHttpClient &) = delete;
  BlockingHttpClient &operator=(const BlockingHttpClient &) = delete;

  /// Sends a request and waits for the response.
  /// \param Timeout from the call to the end of the response, including the
  /// time to connect.
  /// \returns the outcome; after the timeout it is NotSent if there was no
  /// connection yet, otherwise ConnectionLost.
  ExchangeResult exchange(ExchangeRequest Request, Duration Timeout);

  /// Closes the connection.
  void disconnect();

private:
  /// Closes the connection if it cannot carry another exchange, for example
  /// because the server has closed it or has sent surplus bytes.
  void dropUnusable();

  HostAddress Address;
  EventLoop Loop;
  std::shared_ptr<HttpConnection> Connection;
};

} // namespace camphorpin

#endif
