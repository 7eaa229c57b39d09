#include "camphorpin/LogClient.h"

#include <atomic>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <criterion/criterion.h>
#include <httplib.h>
#include <string>
#include <thread>

using namespace camphorpin;

namespace {

/// An HTTP server that replies to every request with a given status and body.
class StubLogServer {
public:
  StubLogServer() {
    const httplib::Server::Handler Respond = [this](const httplib::Request &,
                                                    httplib::Response &Reply) {
      ++Requests;
      std::this_thread::sleep_for(Delay);
      Reply.status = Status;
      Reply.set_content(Body, "application/json");
    };
    Server.Get("/v1/records", Respond);
    Server.Post("/v1/records", Respond);
    Port = Server.bind_to_any_port("127.0.0.1");
    Thread = std::thread([this] { Server.listen_after_bind(); });
    while (!Server.is_running())
      std::this_thread::yield();
  }
  ~StubLogServer() {
    Server.stop();
    Thread.join();
  }

  HttpLogSettings settings() const {
    HttpLogSettings Settings;
    Settings.Address = *HostAddress::parse("127.0.0.1:" + std::to_string(Port));
    Settings.MaxReplyBytes = 4096;
    return Settings;
  }

  int Status = 200;
  std::string Body;
  std::chrono::milliseconds Delay{0};
  std::atomic<int> Requests = 0;

private:
  httplib::Server Server;
  std::thread Thread;
  int Port = 0;
};

bool readsAsMalformed(StubLogServer &Log, std::string_view Body) {
  Log.Body = Body;
  HttpPlatformLog Client(Log.settings());
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(Client.read(5, 2));
        return false;
      },
      [](const LogReadError &Error) {
        return Error.Reason == LogReadError::Cause::Malformed;
      },
      [] { return false; });
}

} // namespace

/// Guards against records that are lost or reordered when a reply is parsed.
Test(HttpPlatformLog, readsRecordsInOrder) {
  StubLogServer Log;
  Log.Body = R"({"first":3,"next":8,"records":[
      {"offset":5,"body":"a"},{"offset":7,"body":"{\"x\":1}"}]})";
  HttpPlatformLog Client(Log.settings());
  const boost::leaf::result<LogBatch> Batch = Client.read(5, 2);
  cr_assert(Batch.has_value());
  cr_assert_eq(Batch->FirstRetained, 3);
  cr_assert_eq(Batch->Next, 8);
  cr_assert_eq(Batch->Records.size(), 2);
  cr_assert_eq(Batch->Records[1].Offset, 7);
  cr_assert_eq(Batch->Records[1].Body, "{\"x\":1}");
}

/// Guards against replies with wrong types, offsets out of range, records given
/// twice or too many records, which could crash a reader or fill its memory.
Test(HttpPlatformLog, rejectsMalformedReadReplies) {
  StubLogServer Log;
  const std::string Head = R"({"first":3,"next":8,"records":[)";
  for (const std::string &Body : std::initializer_list<std::string>{
           "", "not json", "[]", "{}", R"({"first":3,"next":8})",
           R"({"first":-1,"next":8,"records":[]})",
           R"({"first":9,"next":8,"records":[]})",
           R"({"first":3,"next":8.5,"records":[]})",
           R"({"first":3,"next":8,"records":{}})",
           Head + R"({"offset":4,"body":"before the range"}]})",
           Head + R"({"offset":8,"body":"after next"}]})",
           Head + R"({"offset":6,"body":1}]})", Head + R"({"body":"x"}]})",
           Head + R"({"offset":6,"body":"a"},{"offset":6,"body":"twice"}]})",
           Head + R"({"offset":5,"body":""},{"offset":6,"body":""},)" +
               R"({"offset":7,"body":"more than asked for"}]})",
           std::string(2000, '[')})
    cr_assert(readsAsMalformed(Log, Body), "accepted: %.60s", Body.c_str());
}

/// Guards against unbounded memory use by a reply that exceeds MaxReplyBytes.
Test(HttpPlatformLog, rejectsReplyAboveTheSizeLimit) {
  StubLogServer Log;
  Log.Body = R"({"first":3,"next":8,"records":[{"offset":5,"body":")" +
             std::string(8192, 'x') + "\"}]}";
  HttpPlatformLog Client(Log.settings());
  cr_assert(!Client.read(5, 2).has_value());
}

/// Guards against reporting an append as Unavailable when the record may be in
/// the log, which would let an operator submit a change twice.
Test(HttpPlatformLog, reportsUnavailableOnlyIfDefinitelyNotAppended) {
  StubLogServer Log;
  HttpPlatformLog Client(Log.settings());
  Log.Body = R"({"offset":41})";
  const AppendOutcome Accepted = Client.append("{}");
  cr_assert(Accepted.Status == AppendStatus::Accepted);
  cr_assert_eq(Accepted.Offset, 41);
  for (const char *Body : {"", "{}", R"({"offset":-1})", R"({"offset":"1"})"}) {
    Log.Body = Body;
    cr_assert(Client.append("{}").Status == AppendStatus::Unknown);
  }
  Log.Status = 503;
  cr_assert(Client.append("{}").Status == AppendStatus::Unknown);
  Log.Status = 413;
  cr_assert(Client.append("{}").Status == AppendStatus::Unavailable);
}

/// Guards against an implicit retry of an append, which could append the record
/// twice, and against an error without a reason.
Test(HttpPlatformLog, sendsEachAppendOnce) {
  StubLogServer Log;
  Log.Status = 500;
  HttpPlatformLog Client(Log.settings());
  const AppendOutcome Outcome = Client.append("{}");
  cr_assert(Outcome.Status == AppendStatus::Unknown);
  cr_assert_eq(Log.Requests, 1);
  cr_assert(!Outcome.Detail.empty());
}

/// Guards against reporting an append as Unknown although no connection to the
/// log was established.
Test(HttpPlatformLog, reportsConnectionFailureAsUnavailable) {
  HttpLogSettings Settings;
  // The port of a stopped server refuses connections.
  {
    StubLogServer Log;
    Settings = Log.settings();
  }
  HttpPlatformLog Client(Settings);
  cr_assert(Client.append("{}").Status == AppendStatus::Unavailable);
  cr_assert(!Client.read(0, 1).has_value());
}

/// Guards against reporting an append as Unavailable when only its reply timed
/// out: the record may have been appended.
Test(HttpPlatformLog, reportsReplyTimeoutAsUnknown) {
  StubLogServer Log;
  Log.Body = R"({"offset":41})";
  Log.Delay = std::chrono::milliseconds(300);
  HttpLogSettings Settings = Log.settings();
  Settings.ReplyTimeout = Duration::millis(20);
  HttpPlatformLog Client(Settings);
  cr_assert(Client.append("{}").Status == AppendStatus::Unknown);
  cr_assert_eq(Log.Requests, 1);
}
