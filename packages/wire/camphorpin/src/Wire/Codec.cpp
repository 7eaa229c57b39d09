#include "camphorpin/src/Wire/Codec.h"

#include <algorithm>
#include <string_view>

namespace camphorpin {

namespace {

/// A context with a duration beyond this is rejected, so that sums cannot
/// overflow.
constexpr Duration MaxDuration = Duration::seconds(7 * 24 * 3600);

std::string_view toStringView(capnp::Text::Reader Source) {
  return {Source.cStr(), Source.size()};
}

/// Writes a number as 8 bytes in network byte order.
void writeBigEndian(std::uint64_t Value, std::uint8_t *Target) {
  for (int Index = 7; Index >= 0; --Index) {
    Target[Index] = static_cast<std::uint8_t>(Value);
    Value >>= 8U;
  }
}

std::uint64_t readBigEndian(const std::uint8_t *Source) {
  std::uint64_t Value = 0;
  for (int Index = 0; Index < 8; ++Index)
    Value = (Value << 8U) | Source[Index];
  return Value;
}

bool isValidDuration(std::int64_t Ticks) {
  return Ticks >= -MaxDuration.ticks() && Ticks <= MaxDuration.ticks();
}

/// \param Text empty for a response.
bool isSupportedMethod(std::string_view Text) {
  return Text.empty() || Text == "GET" || Text == "POST";
}

} // namespace

void writeKey(wire::Key::Builder Target, const RequestKey &Value) {
  Target.setHigh(readBigEndian(Value.bytes().data()));
  Target.setLow(readBigEndian(Value.bytes().data() + 8));
}

RequestKey readKey(wire::Key::Reader Source) {
  std::array<std::uint8_t, RequestKey::Size> Bytes{};
  writeBigEndian(Source.getHigh(), Bytes.data());
  writeBigEndian(Source.getLow(), Bytes.data() + 8);
  return RequestKey::fromBytes(Bytes);
}

void writeProcess(wire::Process::Builder Target, const ProcessId &Value) {
  Target.setIp(Value.Address.Ip);
  Target.setPort(Value.Address.Port);
  Target.setIncarnation(Value.Incarnation);
}

ProcessId readProcess(wire::Process::Reader Source) {
  return ProcessId{HostAddress{Source.getIp(), Source.getPort()},
                   Source.getIncarnation()};
}

void writeContext(wire::Context::Builder Target, const RequestContext &Value) {
  writeKey(Target.initRoot(), Value.Root);
  writeKey(Target.initKey(), Value.Key);
  Target.setService(Value.Service.string());
  Target.setOperation(Value.Operation.string());
  Target.setCaller(Value.Caller.string());
  Target.setRank(Value.Rank.index());
  Target.setIdempotent(Value.Idempotent);
  Target.setFirstSend(Value.FirstSend);
  Target.setAge(Value.Age.ticks());
  Target.setRemaining(Value.Remaining.ticks());
  Target.setHopsLeft(Value.HopsLeft);
  Target.setExtraAttempts(Value.ExtraAttempts);
  Target.setCrashCount(Value.CrashCount);
  Target.setFingerprint(Value.Fingerprint);
  Target.setHomeEpoch(Value.HomeEpoch);
}

std::optional<RequestContext> readContext(wire::Context::Reader Source) {
  const std::string_view Service = toStringView(Source.getService());
  const std::string_view Operation = toStringView(Source.getOperation());
  const std::string_view Caller = toStringView(Source.getCaller());
  if (!isValidName(Service) || !isValidName(Operation) || !isValidName(Caller))
    return std::nullopt;
  if (Source.getRank() >= MaxRanks || !isValidDuration(Source.getAge()) ||
      !isValidDuration(Source.getRemaining()))
    return std::nullopt;
  RequestContext Value;
  Value.Root = readKey(Source.getRoot());
  Value.Key = readKey(Source.getKey());
  Value.Service = ServiceName(Service);
  Value.Operation = OperationName(Operation);
  Value.Caller = CallerName(Caller);
  Value.Rank = Rank(Source.getRank());
  Value.Idempotent = Source.getIdempotent();
  Value.FirstSend = Source.getFirstSend();
  Value.Age = Duration::ticks(Source.getAge());
  Value.Remaining = Duration::ticks(Source.getRemaining());
  Value.HopsLeft = Source.getHopsLeft();
  Value.ExtraAttempts = Source.getExtraAttempts();
  Value.CrashCount = Source.getCrashCount();
  Value.Fingerprint = Source.getFingerprint();
  Value.HomeEpoch = Source.getHomeEpoch();
  return Value;
}

void writePayload(wire::Payload::Builder Target, const Payload &Value) {
  Target.setMethod(Value.Method);
  Target.setQuery(Value.Query);
  Target.setStatus(Value.Status);
  const std::size_t Count = std::min(Value.Headers.size(), MaxHeaderFields);
  capnp::List<wire::Header>::Builder Headers =
      Target.initHeaders(static_cast<unsigned>(Count));
  for (std::size_t Index = 0; Index < Count; ++Index) {
    wire::Header::Builder Field = Headers[static_cast<unsigned>(Index)];
    Field.setName(Value.Headers[Index].Name);
    Field.setValue(Value.Headers[Index].Value);
  }
  Target.setBody(
      kj::arrayPtr(reinterpret_cast<const kj::byte *>(Value.Body.data()),
                   Value.Body.size()));
}

std::optional<Payload> readPayload(wire::Payload::Reader Source) {
  const std::string_view Method = toStringView(Source.getMethod());
  const std::string_view Query = toStringView(Source.getQuery());
  if (!isSupportedMethod(Method) || !isValidHeaderText(Query) ||
      Source.getHeaders().size() > MaxHeaderFields)
    return std::nullopt;
  Payload Value;
  Value.Method = Method;
  Value.Query = Query;
  Value.Status = Source.getStatus();
  for (wire::Header::Reader Field : Source.getHeaders()) {
    const std::string_view Name = toStringView(Field.getName());
    const std::string_view Text = toStringView(Field.getValue());
    if (!isValidHeaderName(Name) || !isValidHeaderText(Text))
      return std::nullopt;
    Value.Headers.push_back({std::string(Name), std::string(Text)});
  }
  const capnp::Data::Reader Body = Source.getBody();
  Value.Body.assign(reinterpret_cast<const char *>(Body.begin()), Body.size());
  return Value;
}

std::optional<Payload> readResponse(wire::Payload::Reader Source) {
  std::optional<Payload> Value = readPayload(Source);
  if (!Value || !isFinalStatus(Value->Status))
    return std::nullopt;
  return Value;
}

std::optional<Verdict> verdictFromCode(std::uint8_t Code) {
  // The last enumerator.
  if (Code > static_cast<std::uint8_t>(Verdict::MayHaveRun))
    return std::nullopt;
  return static_cast<Verdict>(Code);
}

std::optional<RefusalReason> reasonFromCode(std::uint8_t Code) {
  // The last enumerator.
  if (Code > static_cast<std::uint8_t>(RefusalReason::NodeBusy))
    return std::nullopt;
  return static_cast<RefusalReason>(Code);
}

} // namespace camphorpin
