#ifndef CAMPHORPIN_TESTS_SUPPORT_BROKENANSWERS_H
#define CAMPHORPIN_TESTS_SUPPORT_BROKENANSWERS_H

#include <string>
#include <string_view>
#include <vector>

namespace camphorpin::test {

/// \class NamedAnswer
/// \brief An HTTP response as bytes, with a name for messages of tests.
struct NamedAnswer {
  std::string Name;
  std::string Bytes;
};

// Responses that HTTP/1.1 rules out, whose sender meant the body "one".
// \p Fields are headers, each with CRLF, that all of them have.

/// The status is none that a client may get (RFC 9110, 15).
std::vector<NamedAnswer> impossibleStatuses(std::string_view Fields);

/// The status line or a header is malformed (RFC 9112, 4 and 5).
std::vector<NamedAnswer> malformedHeads(std::string_view Fields);

/// The headers leave the end of the body in doubt (RFC 9112, 6).
std::vector<NamedAnswer> doubtfulLengths(std::string_view Fields);

/// The body is sent in malformed chunks (RFC 9112, 7.1).
std::vector<NamedAnswer> malformedChunks(std::string_view Fields);

/// Responses that are unusual and allowed, with the body "one".
std::vector<NamedAnswer> allowedForms(std::string_view Fields);

} // namespace camphorpin::test

#endif
