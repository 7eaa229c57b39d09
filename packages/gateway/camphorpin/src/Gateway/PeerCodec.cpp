#include "camphorpin/src/Gateway/PeerCodec.h"

#include "camphorpin/Wire.h"
#include "camphorpin/generated/peer.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cmath>
#include <kj/exception.h>
#include <kj/io.h>
#include <limits>

namespace camphorpin::detail {

namespace {

/// Fractions are encoded in thousandths.
constexpr double PerMille = 1000.0;
/// Encoded size from which room is reserved, so that a large buffer does not
/// grow beyond what it needs.
constexpr std::size_t MinReservedBytes = std::size_t(64) << 10U;
/// Size of the length prefix of each message.
constexpr std::size_t LengthBytes = 4;

capnp::Data::Reader dataOf(std::string_view Text) {
  return {reinterpret_cast<const kj::byte *>(Text.data()), Text.size()};
}

std::string textOf(capnp::Data::Reader Data) {
  return {reinterpret_cast<const char *>(Data.begin()), Data.size()};
}

std::string textOf(capnp::Text::Reader Text) {
  return {Text.begin(), Text.size()};
}

/// \returns \p Value, or the nearest number that fits the field.
std::uint32_t fieldOf(std::int64_t Value) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(
      Value, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t millisOf(Duration Value) { return fieldOf(Value.wholeMillis()); }

void write(peer::GateState::Builder Target, const BackendStatus &Source) {
  Target.setAvailable(Source.Available);
  Target.setLeaving(Source.Draining);
  Target.setRunning(Source.Running);
  Target.setQueued(Source.Queued);
  Target.setLimit(Source.Limit);
  Target.setWaitMs(millisOf(Source.Wait));
  Target.setServiceUs(fieldOf(Source.ServiceTime.ticks()));
  Target.setFaultPerMille(
      static_cast<std::uint16_t>(std::lround(Source.FailureRate * PerMille)));
  Target.setCallsOthers(Source.MakesNestedCalls);
}

void write(peer::Notice::Builder Target, const PeerDigest &Source) {
  Target.setConfiguration(Source.Configuration);
  Target.setMembers(Source.Members);
  Target.setStoreEra(Source.StoreEra);
}

PeerDigest read(peer::Notice::Reader Source) {
  return {Source.getConfiguration(), Source.getMembers(), Source.getStoreEra()};
}

BackendStatus read(peer::GateState::Reader Source) {
  BackendStatus Result;
  Result.Available = Source.getAvailable();
  Result.Draining = Source.getLeaving();
  Result.Running = Source.getRunning();
  Result.Queued = Source.getQueued();
  Result.Limit = Source.getLimit();
  Result.Wait = Duration::millis(Source.getWaitMs());
  Result.ServiceTime = Duration::ticks(Source.getServiceUs());
  Result.FailureRate = Source.getFaultPerMille() / PerMille;
  Result.MakesNestedCalls = Source.getCallsOthers();
  return Result;
}

void write(peer::Call::Builder Target, const PeerCall &Source) {
  Target.setId(Source.Id);
  Target.setHead(dataOf(Source.Head));
  const std::string Body = Source.Body.text();
  Target.setBody(dataOf(Body));
  Target.setRequestId(Source.RequestId);
  Target.setRoute(Source.Route);
  Target.setService(Source.Service);
  Target.setIdempotent(Source.Idempotent);
  Target.setPriority(Source.Rank);
  Target.setDeadlineMs(millisOf(Source.TimeLeft));
  Target.setObjectiveMs(millisOf(Source.Objective));
  Target.setAgeMs(millisOf(Source.Age));
  Target.setFingerprint(Source.Fingerprint);
  Target.setNested(Source.Nested);
  Target.setCrashCount(Source.CrashCount);
}

/// \class StringOutput
/// \brief Appends what is written to a string.
class StringOutput final : public kj::OutputStream {
public:
  explicit StringOutput(std::string &Target) : Target(Target) {}

  void write(const void *Source, std::size_t Size) override {
    Target.append(static_cast<const char *>(Source), Size);
  }

private:
  std::string &Target;
};

/// Encodes each type of frame.
struct FrameWriter {
  peer::PeerFrame::Builder Root;

  void operator()(const PeerHello &Value) {
    peer::Hello::Builder Target = Root.initHello();
    Target.setNode(Value.Node);
    Target.setIncarnation(Value.Incarnation);
    Target.setNumber(Value.Number);
    Target.setService(Value.Service);
    Target.setZone(Value.Zone);
    Target.setAddress(Value.Address);
    write(Target.initKnown(), Value.Digest);
    write(Target.initState(), Value.Status);
  }
  void operator()(const PeerCall &Value) { write(Root.initCall(), Value); }
  void operator()(const PeerLargeCall &Value) {
    peer::LargeCall::Builder Target = Root.initLargeCall();
    write(Target.initCall(), Value.Call);
    Target.setBodyBytes(Value.BodyBytes);
  }
  void operator()(const PeerBodyRequest &Value) {
    peer::BodyRequest::Builder Target = Root.initBodyRequest();
    Target.setId(Value.Id);
    Target.setFrom(Value.From);
    Target.setUpTo(Value.UpTo);
  }
  void operator()(const PeerBodyPart &Value) {
    peer::BodyPart::Builder Target = Root.initBodyPart();
    Target.setId(Value.Id);
    Target.setOffset(Value.Offset);
    Target.setBytes(dataOf(Value.Bytes));
  }
  void operator()(const PeerAnswer &Value) {
    peer::Answer::Builder Target = Root.initAnswer();
    Target.setId(Value.Id);
    Target.setOutcome(static_cast<std::uint8_t>(Value.Outcome));
    Target.setReason(static_cast<std::uint8_t>(Value.Reason));
    Target.setStatus(Value.StatusCode);
    Target.setRetryAfterMs(millisOf(Value.RetryAfter));
    Target.setHead(dataOf(Value.Head));
    Target.setBody(dataOf(Value.Body));
    Target.setBackend(Value.Backend);
    write(Target.initState(), Value.Status);
    Target.setRouteUs(fieldOf(Value.RouteTime.ticks()));
    Target.setConfiguration(Value.Configuration);
    Target.setCrashCount(Value.CrashCount);
  }
  void operator()(const PeerCancel &Value) { Root.setCancel(Value.Id); }
  void operator()(const PeerPing &Value) { Root.setPing(Value.Number); }
  void operator()(const PeerPong &Value) { Root.setPong(Value.Number); }
  void operator()(const BackendStatus &Value) {
    write(Root.initState(), Value);
  }
  void operator()(const PeerUpdateRequest &Value) {
    peer::NewsRequest::Builder Target = Root.initNewsRequest();
    Target.setConfiguration(Value.Configuration);
    Target.setMembers(Value.Members);
    auto Parts = Target.initParts(static_cast<unsigned>(Value.Parts.size()));
    for (unsigned Index = 0; Index < Parts.size(); ++Index)
      Parts.set(Index, Value.Parts[Index]);
  }
  void operator()(const PeerUpdate &Value) {
    peer::News::Builder Target = Root.initNews();
    Target.setConfiguration(Value.Configuration);
    Target.setDocument(dataOf(Value.Document));
    auto Members =
        Target.initMembers(static_cast<unsigned>(Value.Members.size()));
    for (unsigned Index = 0; Index < Members.size(); ++Index) {
      Members[Index].setNode(Value.Members[Index].Node);
      Members[Index].setValue(dataOf(Value.Members[Index].Record));
    }
  }
  void operator()(const PeerAck &Value) {
    auto Ids = Root.initAcknowledged(static_cast<unsigned>(Value.Ids.size()));
    for (unsigned Index = 0; Index < Ids.size(); ++Index)
      Ids.set(Index, Value.Ids[Index]);
  }
  void operator()(const PeerDigest &Value) { write(Root.initNotice(), Value); }
  void operator()(const PeerPoll &Value) {
    write(Root.initPoll(), Value.Digest);
  }
  void operator()(const PeerPollAnswer &Value) {
    peer::PollAnswer::Builder Target = Root.initPollAnswer();
    write(Target.initKnown(), Value.Digest);
    Target.setCurrent(Value.Current);
  }
  void operator()(const PeerCrashes &Value) {
    auto Notices =
        Root.initCrashes(static_cast<unsigned>(Value.Notices.size()));
    for (unsigned Index = 0; Index < Notices.size(); ++Index) {
      Notices[Index].setFingerprint(Value.Notices[Index].Fingerprint);
      Notices[Index].setCrash(Value.Notices[Index].Crash);
      Notices[Index].setAgeMs(millisOf(Value.Notices[Index].Age));
    }
  }
  void operator()(const DepartureNotice &Value) {
    peer::DepartureNotice::Builder Target = Root.initDepartures();
    Target.setNode(Value.Node);
    auto Items =
        Target.initDepartures(static_cast<unsigned>(Value.Departures.size()));
    for (unsigned Index = 0; Index < Items.size(); ++Index) {
      Items[Index].setBackend(Value.Departures[Index].Id);
      Items[Index].setStartedMs(Value.Departures[Index].StartedMillis);
    }
  }
};

PeerHello readHello(peer::Hello::Reader Source) {
  PeerHello Result;
  Result.Node = textOf(Source.getNode());
  Result.Incarnation = Source.getIncarnation();
  Result.Number = Source.getNumber();
  Result.Service = textOf(Source.getService());
  Result.Zone = textOf(Source.getZone());
  Result.Address = textOf(Source.getAddress());
  Result.Digest = read(Source.getKnown());
  Result.Status = read(Source.getState());
  return Result;
}

PeerCall readCall(peer::Call::Reader Source) {
  PeerCall Result;
  Result.Id = Source.getId();
  Result.Head = textOf(Source.getHead());
  Result.Body = SharedBody(textOf(Source.getBody()));
  Result.RequestId = textOf(Source.getRequestId());
  Result.Route = textOf(Source.getRoute());
  Result.Service = textOf(Source.getService());
  Result.Idempotent = Source.getIdempotent();
  Result.Rank = Source.getPriority();
  Result.TimeLeft = Duration::millis(Source.getDeadlineMs());
  Result.Objective = Duration::millis(Source.getObjectiveMs());
  Result.Age = Duration::millis(Source.getAgeMs());
  Result.Fingerprint = Source.getFingerprint();
  Result.CrashCount = Source.getCrashCount();
  Result.Nested = Source.getNested();
  return Result;
}

/// \returns true if the head of \p Answer is that of a final HTTP response, as
/// responseHead() makes it. A node of an earlier version passes on more.
bool hasValidHead(const PeerAnswer &Answer) {
  const std::string Start =
      "HTTP/1.1 " + std::to_string(Answer.StatusCode) + " ";
  return isFinalStatus(Answer.StatusCode) && Answer.Head.starts_with(Start) &&
         Answer.Head.ends_with("\r\n") &&
         Answer.Head.find("\r\n\r\n") == std::string::npos;
}

PeerAnswer readAnswer(peer::Answer::Reader Source) {
  PeerAnswer Result;
  Result.Id = Source.getId();
  // An unknown outcome of a later version is decoded as Failed, which
  // guarantees the least.
  Result.Outcome = Source.getOutcome() > static_cast<int>(CallOutcome::Failed)
                       ? CallOutcome::Failed
                       : static_cast<CallOutcome>(Source.getOutcome());
  Result.Reason = static_cast<RefusalReason>(std::min<int>(
      Source.getReason(), static_cast<int>(RefusalReason::NodeBusy)));
  Result.StatusCode = Source.getStatus();
  Result.RetryAfter = Duration::millis(Source.getRetryAfterMs());
  Result.Head = textOf(Source.getHead());
  Result.Body = textOf(Source.getBody());
  Result.Backend = textOf(Source.getBackend());
  Result.Status = read(Source.getState());
  Result.RouteTime = Duration::ticks(Source.getRouteUs());
  Result.Configuration = Source.getConfiguration();
  Result.CrashCount = Source.getCrashCount();
  if (Result.Outcome == CallOutcome::Answered && !hasValidHead(Result)) {
    Result.Outcome = CallOutcome::Failed;
    Result.Reason = RefusalReason::BackendFailed;
    Result.Head.clear();
    Result.Body.clear();
  }
  return Result;
}

PeerLargeCall readLargeCall(peer::LargeCall::Reader Source) {
  return {readCall(Source.getCall()), Source.getBodyBytes()};
}

PeerBodyRequest readBodyRequest(peer::BodyRequest::Reader Source) {
  return {Source.getId(), Source.getFrom(), Source.getUpTo()};
}

PeerBodyPart readBodyPart(peer::BodyPart::Reader Source) {
  return {Source.getId(), Source.getOffset(), textOf(Source.getBytes())};
}

PeerUpdateRequest readUpdateRequest(peer::NewsRequest::Reader Source) {
  PeerUpdateRequest Result;
  Result.Configuration = Source.getConfiguration();
  Result.Members = Source.getMembers();
  for (const std::uint32_t Part : Source.getParts())
    Result.Parts.push_back(Part);
  return Result;
}

PeerUpdate readUpdate(peer::News::Reader Source) {
  PeerUpdate Result;
  Result.Configuration = Source.getConfiguration();
  Result.Document = textOf(Source.getDocument());
  for (const peer::Member::Reader Member : Source.getMembers())
    Result.Members.push_back(
        {textOf(Member.getNode()), textOf(Member.getValue())});
  return Result;
}

PeerAck readAck(peer::PeerFrame::Reader Root) {
  PeerAck Result;
  for (const std::uint64_t Id : Root.getAcknowledged())
    Result.Ids.push_back(Id);
  return Result;
}

PeerCrashes readCrashes(peer::PeerFrame::Reader Root) {
  PeerCrashes Result;
  for (const peer::CrashNotice::Reader Notice : Root.getCrashes())
    Result.Notices.push_back({Notice.getFingerprint(), Notice.getCrash(),
                              Duration::millis(Notice.getAgeMs())});
  return Result;
}

DepartureNotice readDepartures(peer::DepartureNotice::Reader Source) {
  DepartureNotice Result;
  Result.Node = textOf(Source.getNode());
  for (const peer::Departure::Reader Item : Source.getDepartures())
    Result.Departures.push_back(
        {textOf(Item.getBackend()), Item.getStartedMs()});
  return Result;
}

PeerFrame readFrame(peer::PeerFrame::Reader Root) {
  switch (Root.which()) {
  case peer::PeerFrame::HELLO:
    return readHello(Root.getHello());
  case peer::PeerFrame::CALL:
    return readCall(Root.getCall());
  case peer::PeerFrame::ANSWER:
    return readAnswer(Root.getAnswer());
  case peer::PeerFrame::CANCEL:
    return PeerCancel{Root.getCancel()};
  case peer::PeerFrame::PING:
    return PeerPing{Root.getPing()};
  case peer::PeerFrame::PONG:
    return PeerPong{Root.getPong()};
  case peer::PeerFrame::STATE:
    return read(Root.getState());
  case peer::PeerFrame::NEWS_REQUEST:
    return readUpdateRequest(Root.getNewsRequest());
  case peer::PeerFrame::NEWS:
    return readUpdate(Root.getNews());
  case peer::PeerFrame::ACKNOWLEDGED:
    return readAck(Root);
  case peer::PeerFrame::CRASHES:
    return readCrashes(Root);
  case peer::PeerFrame::NOTICE:
    return read(Root.getNotice());
  case peer::PeerFrame::POLL:
    return PeerPoll{read(Root.getPoll())};
  case peer::PeerFrame::POLL_ANSWER:
    return PeerPollAnswer{read(Root.getPollAnswer().getKnown()),
                          Root.getPollAnswer().getCurrent()};
  case peer::PeerFrame::LARGE_CALL:
    return readLargeCall(Root.getLargeCall());
  case peer::PeerFrame::BODY_REQUEST:
    return readBodyRequest(Root.getBodyRequest());
  case peer::PeerFrame::BODY_PART:
    return readBodyPart(Root.getBodyPart());
  case peer::PeerFrame::DEPARTURES:
    return readDepartures(Root.getDepartures());
  }
  // A frame of a later version is ignored.
  return PeerPong{0};
}

} // namespace

void encodeFrame(const PeerFrame &Frame, std::string &Target) {
  capnp::MallocMessageBuilder Message;
  std::visit(FrameWriter{Message.initRoot<peer::PeerFrame>()}, Frame);
  const std::size_t Start = Target.size();
  Target.append(LengthBytes, '\0');
  // Traffic between availability zones is billed, and most bytes of a frame's
  // structure are zero.
  // The packed form of a word takes nine bytes at most.
  const std::size_t MaxBytes =
      capnp::computeSerializedSizeInWords(Message) * (sizeof(capnp::word) + 1);
  if (MaxBytes > MinReservedBytes)
    Target.reserve(Target.size() + MaxBytes);
  StringOutput Packed(Target);
  capnp::writePackedMessage(Packed, Message);
  const std::size_t Length = Target.size() - Start - LengthBytes;
  for (std::size_t Index = 0; Index < LengthBytes; ++Index)
    Target[Start + Index] =
        static_cast<char>(Length >> (8 * (LengthBytes - 1 - Index)));
}

std::size_t frameBytes(std::string_view Stream) {
  if (Stream.size() < LengthBytes)
    return 0;
  std::size_t Length = 0;
  for (std::size_t Index = 0; Index < LengthBytes; ++Index)
    Length = (Length << 8U) | static_cast<unsigned char>(Stream[Index]);
  return LengthBytes + Length;
}

DecodedFrame decodeFrame(std::string_view Stream, std::size_t MaxBytes) {
  DecodedFrame Result;
  const std::size_t Bytes = frameBytes(Stream);
  if (Bytes == 0)
    return Result;
  const std::size_t Length = Bytes - LengthBytes;
  if (Length > MaxBytes) {
    Result.State = DecodeState::Malformed;
    return Result;
  }
  if (Stream.size() < Bytes)
    return Result;
  try {
    kj::ArrayInputStream Input(kj::arrayPtr(
        reinterpret_cast<const kj::byte *>(Stream.data()) + LengthBytes,
        Length));
    capnp::ReaderOptions Options;
    Options.traversalLimitInWords = MaxBytes / sizeof(capnp::word);
    capnp::PackedMessageReader Reader(Input, Options);
    Result.Frame = readFrame(Reader.getRoot<peer::PeerFrame>());
    Result.Bytes = LengthBytes + Length;
    Result.State = DecodeState::Frame;
  } catch (const kj::Exception &) {
    Result.State = DecodeState::Malformed;
  }
  return Result;
}

} // namespace camphorpin::detail
