#include "camphorpin/src/Daemon/HttpFront.h"

#include "camphorpin/src/Daemon/HttpAnswer.h"
#include "camphorpin/src/Daemon/HttpHeaders.h"
#include "camphorpin/src/Daemon/RequestReader.h"
#include "camphorpin/src/Engine/Refusal.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <utility>

namespace camphorpin {

namespace {

/// \class WaitingSink
/// \brief Passes an answer to the HTTP thread that waits for it.
class WaitingSink final : public AnswerSink {
public:
  void deliver(const Answer &Value, const SharedPayload &Body) override {
    const std::lock_guard<std::mutex> Lock(Mutex);
    this->Value = Value;
    this->Body = Body;
    Ready.notify_one();
  }

  /// Waits for the answer. The engine gives one to each request.
  void writeTo(httplib::Response &Response) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Ready.wait(Lock, [this] { return Value.has_value(); });
    writeHttpAnswer(*Value, Body, Response);
  }

private:
  std::mutex Mutex;
  std::condition_variable Ready;
  std::optional<Answer> Value;
  SharedPayload Body;
};

} // namespace

HttpFront::HttpFront(const HttpLimits &Limits, EventQueue &Events,
                     EventLog &Log)
    : Events(Events), Log(Log),
      Server(Limits, [this](const httplib::Request &Request, std::string &&Body,
                            httplib::Response &Response) {
        handle(Request, std::move(Body), Response);
      }) {}

void HttpFront::handle(const httplib::Request &Request, std::string &&Body,
                       httplib::Response &Response) {
  std::optional<RequestInfo> Info = readRequest(Request, Body);
  if (!Info) {
    Log.write(LogEvent::RequestRejected,
              {{"remote", Request.remote_addr}, {"status", "400"}});
    writeHttpAnswer({.Reason = RefusalReason::BadRequest}, nullptr, Response);
    Response.status = 400;
    return;
  }
  const Answer Refusal = detail::refusal(*Info, RefusalReason::NodeBusy);
  const std::shared_ptr<WaitingSink> Sink = std::make_shared<WaitingSink>();
  RequestArrived Event{
      Events.nextRequest(), *std::move(Info),
      std::make_shared<const Payload>(readPayload(Request, std::move(Body))),
      Sink};
  if (!Events.offer(std::move(Event))) {
    Log.write(LogEvent::NodeOverloaded, {{"ring", "events"}});
    writeHttpAnswer(Refusal, nullptr, Response);
    return;
  }
  Sink->writeTo(Response);
}

} // namespace camphorpin
