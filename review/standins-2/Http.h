#ifndef REVIEW_STANDINS_2_HTTP_H
#define REVIEW_STANDINS_2_HTTP_H

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace review {

/// \returns milliseconds since the start of the program.
std::int64_t nowMillis();

/// \returns the wall-clock time in Unix milliseconds.
std::int64_t unixMillis();

void sleepMillis(std::int64_t Millis);

/// \class HttpMessage
/// \brief A request or a response.
struct HttpMessage {
  /// The request line or the status line.
  std::string Start;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// \returns the header \p Name (in lower case), or an empty string.
  std::string header(const std::string &Name) const;
  /// \returns the target of a request.
  std::string target() const;
  /// \returns the status of a response, or 0.
  int status() const;
};

/// \class HttpReply
/// \brief What a stand-in answers.
struct HttpReply {
  int Status = 200;
  std::map<std::string, std::string> Headers;
  std::string Body;
};

/// \class HttpServer
/// \brief An HTTP server on a loopback port, with a thread for each connection.
class HttpServer {
public:
  /// Returns nothing to close the connection without an answer.
  using Handler = std::function<std::optional<HttpReply>(const HttpMessage &)>;

  /// Takes a free port.
  explicit HttpServer(Handler OnRequest);

  std::uint16_t port() const { return Port; }

  /// Listens on the port.
  void start();
  /// Closes the listening socket and all connections, as at the end of a
  /// process.
  void stop();

private:
  void acceptAll(int Listener);
  void serve(int Socket);

  Handler OnRequest;
  std::uint16_t Port = 0;
  std::mutex Mutex;
  int Listening = -1;
  std::set<int> Connections;
};

/// \returns a free port of 127.0.0.1. No two calls return the same.
std::uint16_t freePort();

/// \returns a socket that is connected to \p Port of 127.0.0.1, or -1.
int connectTo(std::uint16_t Port);

/// \brief A request to send.
struct Request {
  std::string Method = "GET";
  std::string Target = "/";
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// \returns the request in HTTP/1.1.
  std::string bytes() const;
};

/// Sends \p Value on a new connection.
/// \returns the response, or nothing if there is none within \p TimeoutMillis.
std::optional<HttpMessage> exchange(std::uint16_t Port, const Request &Value,
                                    std::int64_t TimeoutMillis);

/// Removes the first message from \p Bytes.
/// \returns nothing if it is incomplete.
std::optional<HttpMessage> takeMessage(std::string &Bytes);

} // namespace review

#endif
