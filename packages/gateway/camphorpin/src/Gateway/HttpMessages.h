#ifndef CAMPHORPIN_SRC_GATEWAY_HTTPMESSAGES_H
#define CAMPHORPIN_SRC_GATEWAY_HTTPMESSAGES_H

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace camphorpin {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/// \class HttpReply
/// \brief An answer ready to be sent, without the headers that concern one
/// connection.
struct HttpReply {
  unsigned Status = 503;
  /// Status line and headers, each line ended by CRLF, without the empty line
  /// and without Content-Length.
  std::string Head;
  std::string Body;
};

namespace detail {

/// \returns the request line and the end-to-end headers of \p Request.
/// \param Replaced headers that the caller sets itself.
std::string requestHead(const HttpRequest &Request,
                        std::span<const std::string_view> Replaced);

/// \returns the status line and the end-to-end headers of \p Response.
std::string responseHead(const HttpResponse &Response);

/// \returns "Name: Value" with CRLF.
std::string headerLine(std::string_view Name, std::string_view Value);

/// \returns the value of the header \p Name, or an empty text.
std::string_view headerOf(const HttpRequest &Message, std::string_view Name);
std::string_view headerOf(const HttpResponse &Message, std::string_view Name);

/// \returns true if \p Parser can go on with \p Bytes unread bytes. The end of
/// a chunked message has at least five bytes; once Beast 1.81 has seen a part
/// of it, it asserts that the next part completes these.
template <typename HttpParser>
bool canParse(const HttpParser &Parser, std::size_t Bytes) {
  constexpr std::size_t ChunkedEndBytes = 5;
  const bool InChunks = Parser.is_header_done() && Parser.chunked();
  return Bytes >= (InChunks ? ChunkedEndBytes : 1);
}

/// \returns true if the body of \p Message is in a transfer coding that is not
/// understood, so that it is not known where the message ends.
bool hasUnsupportedTransferCoding(const HttpRequest &Message);
bool hasUnsupportedTransferCoding(const HttpResponse &Message);

/// \returns a reply of the node's own with a short plain text as its body.
HttpReply textReply(unsigned Status, std::string_view Text);

/// \returns a reply of the node's own with a JSON body.
HttpReply jsonReply(unsigned Status, std::string Json);

} // namespace detail

} // namespace camphorpin

#endif
