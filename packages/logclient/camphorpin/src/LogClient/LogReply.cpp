#include "camphorpin/src/LogClient/LogReply.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorpin::detail {

namespace {

nlohmann::json parseJson(std::string_view Json) {
  return nlohmann::json::parse(Json, nullptr, /*allow_exceptions=*/false);
}

std::optional<LogOffset> parseOffset(const nlohmann::json &Object,
                                     const char *Field) {
  if (!Object.is_object())
    return std::nullopt;
  const auto Found = Object.find(Field);
  if (Found == Object.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<LogOffset>();
}

std::optional<LogRecord> parseRecord(const nlohmann::json &Entry) {
  const std::optional<LogOffset> Offset = parseOffset(Entry, "offset");
  if (!Offset)
    return std::nullopt;
  const auto Body = Entry.find("body");
  if (Body == Entry.end() || !Body->is_string())
    return std::nullopt;
  return LogRecord{*Offset, Body->get<std::string>()};
}

} // namespace

std::optional<LogOffset> parseAppendReply(std::string_view Json) {
  return parseOffset(parseJson(Json), "offset");
}

std::optional<LogBatch> parseReadReply(std::string_view Json, LogOffset From,
                                       std::size_t Max) {
  const nlohmann::json Root = parseJson(Json);
  const std::optional<LogOffset> First = parseOffset(Root, "first");
  const std::optional<LogOffset> Next = parseOffset(Root, "next");
  if (!First || !Next || *Next < *First)
    return std::nullopt;
  const auto Entries = Root.find("records");
  if (Entries == Root.end() || !Entries->is_array() || Entries->size() > Max)
    return std::nullopt;
  LogBatch Batch{*First, *Next, {}};
  LogOffset MinOffset = std::max(From, *First);
  for (const nlohmann::json &Entry : *Entries) {
    std::optional<LogRecord> Record = parseRecord(Entry);
    if (!Record || Record->Offset < MinOffset || Record->Offset >= *Next)
      return std::nullopt;
    MinOffset = Record->Offset + 1;
    Batch.Records.push_back(std::move(*Record));
  }
  return Batch;
}

} // namespace camphorpin::detail
