#include "Store.h"

#include <chrono>
#include <cstdlib>

namespace review {

namespace {

constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;

/// \returns the parameter \p Name in the query of \p Target.
std::string query(const std::string &Target, const std::string &Name) {
  for (const char Before : {'?', '&'}) {
    const std::string Key = std::string(1, Before) + Name + "=";
    const std::size_t At = Target.find(Key);
    if (At == std::string::npos)
      continue;
    const std::size_t Start = At + Key.size();
    return Target.substr(Start, Target.find('&', Start) - Start);
  }
  return {};
}

std::string bigEndian(std::uint64_t Value, std::size_t Bytes) {
  std::string Result;
  for (std::size_t Index = Bytes; Index > 0; --Index)
    Result.push_back(static_cast<char>((Value >> (8 * (Index - 1))) & 255U));
  return Result;
}

std::string base64(const std::string &Text) {
  constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
                                      "opqrstuvwxyz0123456789+/";
  std::string Result;
  for (std::size_t At = 0; At < Text.size(); At += 3) {
    std::uint32_t Group = 0;
    for (std::size_t Index = 0; Index < 3; ++Index) {
      const std::uint32_t Byte =
          At + Index < Text.size()
              ? static_cast<unsigned char>(Text[At + Index])
              : 0U;
      Group = (Group << 8U) | Byte;
    }
    for (std::size_t Index = 0; Index < 4; ++Index) {
      const bool Padding = At + Index > Text.size();
      Result.push_back(Padding ? '='
                               : Digits[(Group >> (6 * (3 - Index))) & 63U]);
    }
  }
  return Result;
}

/// A record of a keyed topic is the length of its key, the key and the value.
std::string keyOf(const std::string &Record) {
  return Record.substr(1, static_cast<unsigned char>(Record[0]));
}

} // namespace

Store::Store()
    : Server([this](const HttpMessage &Call) { return handle(Call); }) {}

std::size_t Store::publish(const std::string &Document) {
  const std::string Key = "config";
  const std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<std::string> &Log = Records["keyed.op"];
  Log.push_back(static_cast<char>(Key.size()) + Key + Document);
  Changed.notify_all();
  return Log.size() - 1;
}

Store::Topics Store::copy() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Records;
}

void Store::goAway() {
  Server.stop();
  const std::lock_guard<std::mutex> Lock(Mutex);
  Away = true;
  Changed.notify_all();
}

void Store::comeBack(Topics Copy) {
  {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Records = std::move(Copy);
    ++Era;
    Away = false;
  }
  Server.start();
}

HttpReply Store::reply(int Status, std::string Body) const {
  return {Status,
          {{"Content-Type", "application/json"},
           {"Store-Era", std::to_string(Era)}},
          std::move(Body)};
}

std::optional<HttpReply> Store::handle(const HttpMessage &Call) {
  const std::string Target = Call.target();
  const std::string Topic = query(Target, "topic");
  if (Target.starts_with("/log-read"))
    return read(Topic,
                std::strtoul(query(Target, "from_rev").c_str(), nullptr, 10),
                std::strtol(query(Target, "wait_ms").c_str(), nullptr, 10));
  const std::lock_guard<std::mutex> Lock(Mutex);
  if (Away)
    return std::nullopt;
  if (Target.starts_with("/log-append"))
    return append(Topic, Call.Body);
  if (Target.starts_with("/log-newest"))
    return newest(Topic, query(Target, "after"));
  return reply(404, "{}");
}

HttpReply Store::append(const std::string &Topic, const std::string &Body) {
  std::vector<std::string> &Log = Records[Topic];
  const std::size_t First = Log.size();
  std::size_t At = 0;
  while (At + LengthBytes <= Body.size()) {
    std::size_t Length = 0;
    for (std::size_t Index = 0; Index < LengthBytes; ++Index)
      Length = (Length << 8U) | static_cast<unsigned char>(Body[At + Index]);
    Log.push_back(Body.substr(At + LengthBytes, Length));
    At += LengthBytes + Length;
  }
  Changed.notify_all();
  return reply(200, "{\"offset\":" + std::to_string(First) +
                        ",\"end_offset\":" + std::to_string(Log.size()) + "}");
}

HttpReply Store::newest(const std::string &Topic, const std::string &After) {
  const std::vector<std::string> &Log = Records[Topic];
  std::map<std::string, std::size_t> Latest;
  for (std::size_t Offset = 0; Offset < Log.size(); ++Offset)
    Latest[keyOf(Log[Offset])] = Offset;
  std::string Items;
  for (const auto &[Key, Offset] : Latest) {
    if (Key <= After)
      continue;
    const std::string Value = Log[Offset].substr(1 + Key.size());
    Items += std::string(Items.empty() ? "" : ",") + "{\"key\":\"" + Key +
             "\",\"value\":\"" + base64(Value) +
             "\",\"offset\":" + std::to_string(Offset) + "}";
  }
  return reply(200, "{\"items\":[" + Items +
                        "],\"has_more\":false,\"end_offset\":" +
                        std::to_string(Log.size()) + "}");
}

std::optional<HttpReply> Store::read(const std::string &Topic, std::size_t From,
                                     std::int64_t WaitMillis) {
  std::unique_lock<std::mutex> Lock(Mutex);
  const unsigned StartEra = Era;
  const std::vector<std::string> &Log = Records[Topic];
  Changed.wait_for(Lock, std::chrono::milliseconds(WaitMillis), [&] {
    return Away || Era != StartEra || Log.size() != From;
  });
  if (Away || Era != StartEra)
    return std::nullopt;
  if (From > Log.size())
    return reply(410, "{\"first_offset\":0}");
  std::string Body =
      bigEndian(Log.size(), OffsetBytes) + bigEndian(0, OffsetBytes);
  for (std::size_t Offset = From; Offset < Log.size(); ++Offset)
    Body += bigEndian(Log[Offset].size(), LengthBytes) + Log[Offset];
  return reply(200, std::move(Body));
}

} // namespace review
