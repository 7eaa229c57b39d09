#include "camphorpin/src/Daemon/HttpAnswer.h"

#include "camphorpin/src/Daemon/HttpHeaders.h"

#include <algorithm>
#include <string>

namespace camphorpin {

namespace {

constexpr int BadRequestStatus = 400;
constexpr int NotFoundStatus = 404;
constexpr int GoneStatus = 409;
constexpr int LostStatus = 502;
constexpr int RefusedStatus = 503;
constexpr int TimeoutStatus = 504;

int refusalStatus(const Answer &Value) {
  if (Value.Verdict == Verdict::Ran)
    return GoneStatus;
  if (Value.Verdict == Verdict::MayHaveRun)
    return Value.Reason == RefusalReason::Deadline ? TimeoutStatus : LostStatus;
  if (Value.Reason == RefusalReason::BadRequest)
    return NotFoundStatus;
  if (Value.Reason == RefusalReason::KeyRequired)
    return BadRequestStatus;
  return RefusedStatus;
}

void writeBody(const Payload &Body, httplib::Response &Response) {
  Response.status = Body.Status;
  std::string Type;
  for (const HeaderField &Field : Body.Headers) {
    if (sameHeader(Field.Name, "Content-Type"))
      Type = Field.Value;
    else
      Response.headers.emplace(Field.Name, Field.Value);
  }
  if (Type.empty()) {
    Response.body = Body.Body;
    return;
  }
  Response.set_content(Body.Body, Type);
}

} // namespace

void writeHttpAnswer(const Answer &Value, const SharedPayload &Body,
                     httplib::Response &Response) {
  Response.set_header(headers::Verdict, std::string(toString(Value.Verdict)));
  if (Value.Verdict == Verdict::Ran && Body) {
    writeBody(*Body, Response);
    return;
  }
  Response.status = refusalStatus(Value);
  const std::string Reason(toString(Value.Reason));
  Response.set_header(headers::Reason, Reason);
  if (Response.status == RefusedStatus) {
    const std::int64_t Seconds =
        std::max<std::int64_t>(1, Value.RetryAfter.wholeMillis() / 1000);
    Response.set_header("Retry-After", std::to_string(Seconds));
  }
  Response.set_content(Reason + "\n", "text/plain");
}

} // namespace camphorpin
