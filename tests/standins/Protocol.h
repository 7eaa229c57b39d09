#ifndef CAMPHORPIN_TESTS_STANDINS_PROTOCOL_H
#define CAMPHORPIN_TESTS_STANDINS_PROTOCOL_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What the stand-ins say to each other through the mesh. They do not use the
/// product's libraries, so that they judge its answers independently.
namespace camphorpin::standins {

/// \class Question
/// \brief The body of a request from the load generator.
struct Question {
  /// Identifies the request, whatever key it has.
  std::string Id;
  /// Size of the padding in the answer.
  std::size_t AnswerBytes = 0;
  /// The backend server exits abruptly when it starts this request. The header
  /// "Standin-Crash: yes" does the same where headers are passed on.
  bool Crash = false;
};

std::string encode(const Question &Value);

/// \returns the question in \p Body; an empty one if there is none.
Question decodeQuestion(std::string_view Body);

/// \class NestedOutcome
/// \brief How a nested call ended.
struct NestedOutcome {
  std::string Target;
  int Status = 0;
  std::string Verdict;
  /// Why the node refused the call, or why its answer was not taken.
  std::string Reason;
};

/// \class Answer
/// \brief What a backend server answers to a question.
struct Answer {
  std::string Id;
  std::string Key;
  /// Time from the start of the run to its end.
  double ServiceMs = 0;
  std::vector<NestedOutcome> Nested;
};

/// \returns a text that begins with a checksum of all that follows.
std::string encode(const Answer &Value, std::size_t Padding);

/// \returns nothing if the text is torn or mixed.
std::optional<Answer> decodeAnswer(std::string_view Text);

/// \returns microseconds on the host's monotonic clock, which all processes of
/// a host share.
std::int64_t monotonicMicros();

/// \class Endpoint
/// \brief An IPv4 address and a TCP port.
struct Endpoint {
  std::string Ip;
  int Port = 0;

  std::string toString() const { return Ip + ":" + std::to_string(Port); }
};

/// \pre \p Text is "ip:port". Ends the program with a message if it is not.
Endpoint parseEndpoint(std::string_view Text);

/// \returns the parts of \p Text between the separators, without empty ones.
std::vector<std::string> split(std::string_view Text, char Separator);

} // namespace camphorpin::standins

#endif
