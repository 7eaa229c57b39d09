#include "BrokenAnswers.h"

namespace camphorpin::test {

namespace {

const std::string Three = "Content-Length: 3\r\n";
const std::string Chunked = "Transfer-Encoding: chunked\r\n";
const std::string StatusOk = "HTTP/1.1 200 OK";

/// \class AnswerBuilder
/// \brief Builds answers that share some headers.
class AnswerBuilder {
public:
  explicit AnswerBuilder(std::string_view Fields) : Fields(Fields) {}

  std::string operator()(std::string_view StatusLine, std::string_view Extra,
                         std::string_view Body) const {
    std::string Result(StatusLine);
    Result.append("\r\n").append(Fields).append(Extra);
    return Result.append("\r\n").append(Body);
  }

private:
  std::string Fields;
};

} // namespace

std::vector<NamedAnswer> impossibleStatuses(std::string_view Fields) {
  const AnswerBuilder Answer(Fields);
  std::vector<NamedAnswer> Result;
  for (const char *Status :
       {"000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "+20"})
    Result.push_back({Status, Answer("HTTP/1.1 " + std::string(Status) + " Odd",
                                     Three, "one")});
  return Result;
}

std::vector<NamedAnswer> malformedHeads(std::string_view Fields) {
  const AnswerBuilder Answer(Fields);
  return {
      {"blank in a name", Answer(StatusOk, "X y: z\r\n" + Three, "one")},
      {"tab in a name", Answer(StatusOk, "X\ty: z\r\n" + Three, "one")},
      {"blank after a name", Answer(StatusOk, "Content-Length : 3\r\n", "one")},
      {"tab after a name", Answer(StatusOk, "Content-Length\t: 3\r\n", "one")},
      {"blank before a name",
       Answer(StatusOk, Three, "one").insert(StatusOk.size() + 2, " ")},
      {"blank before a later name",
       Answer(StatusOk, "X: a\r\n Y: b\r\n" + Three, "one")},
      {"tab before a later name",
       Answer(StatusOk, "X: a\r\n\tY: b\r\n" + Three, "one")},
      {"blank before the name of the length",
       Answer(StatusOk, "X: a\r\n Content-Length: 3\r\n", "one")},
      {"folded value", Answer(StatusOk, "X: a\r\n b\r\n" + Three, "one")},
      {"control byte in a name",
       Answer(StatusOk, "X\x01y: z\r\n" + Three, "one")},
      {"control byte in the name of the length",
       Answer(StatusOk, "Content\x7f-Length: 3\r\n", "one")},
      {"NUL in a name",
       Answer(StatusOk, std::string("X\0y: z\r\n", 8) + Three, "one")},
      {"line feed in a name", Answer(StatusOk, "X\ny: z\r\n" + Three, "one")},
      {"carriage return in a name",
       Answer(StatusOk, "X\ry: z\r\n" + Three, "one")},
      {"byte over 127 in a name",
       Answer(StatusOk, "X\xe9: z\r\n" + Three, "one")},
      {"separator in a name", Answer(StatusOk, "X(y): z\r\n" + Three, "one")},
      {"empty name", Answer(StatusOk, ": z\r\n" + Three, "one")},
      {"no colon", Answer(StatusOk, "Xyz\r\n" + Three, "one")},
      {"control byte in a value",
       Answer(StatusOk, "X: a\x01\r\n" + Three, "one")},
      {"NUL in a value",
       Answer(StatusOk, std::string("X: a\0b\r\n", 8) + Three, "one")},
      {"carriage return in a value",
       Answer(StatusOk, "X: a\rb\r\n" + Three, "one")},
      {"line feed alone", Answer(StatusOk, "X: a\nY: b\r\n" + Three, "one")},
      {"only line feeds", "HTTP/1.1 200 OK\nContent-Length: 3\n\none"},
      {"version 2.0", Answer("HTTP/2.0 200 OK", Three, "one")},
      {"version 1.2", Answer("HTTP/1.2 200 OK", Three, "one")},
      {"version 0.9", Answer("HTTP/0.9 200 OK", Three, "one")},
      {"lower case version", Answer("http/1.1 200 OK", Three, "one")},
      {"two blanks before the status",
       Answer("HTTP/1.1  200 OK", Three, "one")},
      {"no blank after the status", Answer("HTTP/1.1 200", Three, "one")},
      {"control byte in the reason",
       Answer("HTTP/1.1 200 O\x02K", Three, "one")},
      {"blank line first", Answer("\r\n" + StatusOk, Three, "one")},
      {"request instead of an answer", Answer("GET / HTTP/1.1", Three, "one")},
  };
}

std::vector<NamedAnswer> doubtfulLengths(std::string_view Fields) {
  const AnswerBuilder Answer(Fields);
  const std::string Chunk = "3\r\none\r\n0\r\n\r\n";
  return {
      {"empty length", Answer(StatusOk, "Content-Length: \r\n", "one")},
      {"length is no number",
       Answer(StatusOk, "Content-Length: 3x\r\n", "one")},
      {"signed length", Answer(StatusOk, "Content-Length: +3\r\n", "one")},
      {"negative length", Answer(StatusOk, "Content-Length: -3\r\n", "one")},
      {"hexadecimal length",
       Answer(StatusOk, "Content-Length: 0x3\r\n", "one")},
      {"length over 64 bits",
       Answer(StatusOk, "Content-Length: 18446744073709551619\r\n", "one")},
      {"two lengths", Answer(StatusOk, Three + "Content-Length: 2\r\n", "one")},
      {"list of lengths", Answer(StatusOk, "Content-Length: 3, 2\r\n", "one")},
      {"length and chunks", Answer(StatusOk, Three + Chunked, Chunk)},
      {"chunks and length", Answer(StatusOk, Chunked + Three, Chunk)},
      {"unknown coding",
       Answer(StatusOk, "Transfer-Encoding: gzip\r\n", "one")},
      {"identity coding",
       Answer(StatusOk, "Transfer-Encoding: identity\r\n", "one")},
      {"two codings",
       Answer(StatusOk, "Transfer-Encoding: gzip, chunked\r\n", Chunk)},
      {"two lines of codings",
       Answer(StatusOk, "Transfer-Encoding: gzip\r\n" + Chunked, Chunk)},
      {"coding after chunks",
       Answer(StatusOk, Chunked + "Transfer-Encoding: gzip\r\n", Chunk)},
      {"chunks twice", Answer(StatusOk, Chunked + Chunked, Chunk)},
      {"empty coding", Answer(StatusOk, "Transfer-Encoding:\r\n", "one")},
      {"chunks in version 1.0", Answer("HTTP/1.0 200 OK", Chunked, Chunk)},
      {"coding of an answer without a body",
       Answer("HTTP/1.1 204 No Content", Chunked, "0\r\n\r\n")},
      {"length of an answer without a body",
       Answer("HTTP/1.1 204 No Content", Three, "one")},
  };
}

std::vector<NamedAnswer> malformedChunks(std::string_view Fields) {
  const AnswerBuilder Answer(Fields);
  return {
      {"no size", Answer(StatusOk, Chunked, "\r\none\r\n0\r\n\r\n")},
      {"size is no number", Answer(StatusOk, Chunked, "x\r\none\r\n0\r\n\r\n")},
      {"signed size", Answer(StatusOk, Chunked, "+3\r\none\r\n0\r\n\r\n")},
      {"negative size", Answer(StatusOk, Chunked, "-3\r\none\r\n0\r\n\r\n")},
      {"prefix of the size",
       Answer(StatusOk, Chunked, "0x3\r\none\r\n0\r\n\r\n")},
      {"blank before the size",
       Answer(StatusOk, Chunked, " 3\r\none\r\n0\r\n\r\n")},
      {"size over 64 bits",
       Answer(StatusOk, Chunked, "10000000000000003\r\none\r\n0\r\n\r\n")},
      {"size too small", Answer(StatusOk, Chunked, "2\r\none\r\n0\r\n\r\n")},
      {"size too large", Answer(StatusOk, Chunked, "4\r\none\r\n0\r\n\r\n")},
      {"line feeds alone", Answer(StatusOk, Chunked, "3\none\n0\n\n")},
      {"control byte in an extension",
       Answer(StatusOk, Chunked, "3;a\x01\r\none\r\n0\r\n\r\n")},
      {"bytes after the size",
       Answer(StatusOk, Chunked, "3 x\r\none\r\n0\r\n\r\n")},
      {"blank in the name of a trailer",
       Answer(StatusOk, Chunked, "3\r\none\r\n0\r\nX y: z\r\n\r\n")},
      {"trailer without a colon",
       Answer(StatusOk, Chunked, "3\r\none\r\n0\r\nXyz\r\n\r\n")},
      {"length as a trailer",
       Answer(StatusOk, Chunked, "3\r\none\r\n0\r\nContent-Length: 3\r\n\r\n")},
  };
}

std::vector<NamedAnswer> allowedForms(std::string_view Fields) {
  const AnswerBuilder Answer(Fields);
  return {
      {"version 1.0", Answer("HTTP/1.0 200 OK", Three, "one")},
      {"no reason", Answer("HTTP/1.1 200 ", Three, "one")},
      {"equal lengths", Answer(StatusOk, Three + Three, "one")},
      {"empty value", Answer(StatusOk, "X:\r\n" + Three, "one")},
      {"all token characters in a name",
       Answer(StatusOk, "!#$%&'*+-.^_`|~09azAZ: y\r\n" + Three, "one")},
      {"bytes over 127 in a value",
       Answer(StatusOk, "X: \xe9\t!\r\n" + Three, "one")},
      {"interim answer",
       "HTTP/1.1 100 Continue\r\n\r\n" + Answer(StatusOk, Three, "one")},
      {"chunk extension",
       Answer(StatusOk, Chunked, "3;a=\"b\"\r\none\r\n0;c\r\n\r\n")},
      {"chunks", Answer(StatusOk, Chunked, "1\r\no\r\n2\r\nne\r\n0\r\n\r\n")},
  };
}

} // namespace camphorpin::test
