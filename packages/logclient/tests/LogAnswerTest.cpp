// Guards the client of the platform's log against replies that break the
// protocol or break off: an append that such a reply accepts may or may not be
// in the log, and what such a reply says of records must not be used.
#include "ScriptedServer.h"
#include "camphorpin/LogClient.h"

#include <criterion/criterion.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

constexpr std::string_view Accepted = R"({"offset":41})";
constexpr std::string_view Records = R"({"first":0,"next":0,"records":[]})";

/// Replies to appends and reads alike, with the body that each expects.
class LogFixture {
public:
  /// \param Head the status line and the headers, each with CRLF. "#" stands
  /// for the length of the body.
  LogFixture(std::string Head, AfterAnswer Then)
      : Server([Head = std::move(Head), Then](std::string_view Request) {
          const std::string_view Body =
              Request.starts_with("POST ") ? Accepted : Records;
          std::string Bytes = Head;
          const std::size_t Length = Bytes.find('#');
          if (Length != std::string::npos)
            Bytes.replace(Length, 1, std::to_string(Body.size()));
          return ScriptedAnswer{Bytes.append("\r\n").append(Body), Then};
        }),
        Log(settings(Server)) {}

  AppendStatus append() { return Log.append("{}").Status; }
  bool reads() { return Log.read(0, 1).has_value(); }

private:
  static HttpLogSettings settings(const ScriptedServer &Server) {
    HttpLogSettings Result;
    Result.Address = *HostAddress::parse(Server.address());
    Result.ReplyTimeout = Duration::seconds(1);
    return Result;
  }

  ScriptedServer Server;
  HttpPlatformLog Log;
};

} // namespace

Test(LogAnswer, malformedRepliesAreNotBelieved) {
  const std::string Length = "Content-Length: #\r\n";
  const std::vector<std::string> Heads = {
      "HTTP/1.1 000 Odd\r\n" + Length,
      "HTTP/1.1 200 OK\r\nX y: z\r\n" + Length,
      "HTTP/1.1 200 OK\r\nX\x01y: z\r\n" + Length,
      "HTTP/1.1 200 OK\r\nX\n" + Length,
      "HTTP/1.1 200 OK\r\nXyz\r\n" + Length,
      "HTTP/1.1 200 OK\r\nContent-Length : #\r\n",
      "HTTP/1.1 200 OK\r\n" + Length + "Content-Length: 1\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
      "HTTP/1.1 200 O\x02K\r\n" + Length,
  };
  for (const std::string &Head : Heads) {
    for (const AfterAnswer Then : {AfterAnswer::KeepOpen, AfterAnswer::Close}) {
      LogFixture Fixture(Head, Then);
      cr_expect_eq(Fixture.append(), AppendStatus::Unknown, "%s", Head.c_str());
      cr_expect_not(Fixture.reads(), "%s", Head.c_str());
    }
  }
}

Test(LogAnswer, replyThatEndsWithAResetIsNotBelieved) {
  LogFixture Fixture("HTTP/1.1 200 OK\r\n", AfterAnswer::Reset);
  cr_expect_eq(Fixture.append(), AppendStatus::Unknown);
  cr_expect_not(Fixture.reads());
}

Test(LogAnswer, wholeRepliesAreBelieved) {
  const std::vector<std::pair<std::string, AfterAnswer>> Whole = {
      {"HTTP/1.1 200 OK\r\nContent-Length: #\r\n", AfterAnswer::KeepOpen},
      {"HTTP/1.1 200 OK\r\nContent-Length: #\r\n", AfterAnswer::Reset},
      {"HTTP/1.1 200 OK\r\n", AfterAnswer::Close},
      {"HTTP/1.1 200 OK\r\n", AfterAnswer::CloseThenReset},
  };
  for (const std::pair<std::string, AfterAnswer> &Item : Whole) {
    LogFixture Appending(Item.first, Item.second);
    cr_expect_eq(Appending.append(), AppendStatus::Accepted, "%s",
                 Item.first.c_str());
    LogFixture Reading(Item.first, Item.second);
    cr_expect(Reading.reads(), "%s", Item.first.c_str());
  }
}
