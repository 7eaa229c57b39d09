#include "Protocol.h"

#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace camphorpin::standins {

namespace {

constexpr std::size_t ChecksumDigits = 16;

/// FNV-1a, 64 bits.
std::uint64_t checksum(std::string_view Text) {
  std::uint64_t Hash = 0xcbf29ce484222325U;
  for (char C : Text) {
    Hash ^= static_cast<unsigned char>(C);
    Hash *= 0x100000001b3U;
  }
  return Hash;
}

std::string checksumText(std::string_view Text) {
  char Digits[ChecksumDigits + 1];
  std::snprintf(Digits, sizeof Digits, "%016llx",
                static_cast<unsigned long long>(checksum(Text)));
  return Digits;
}

nlohmann::json parseLoosely(std::string_view Text) {
  return nlohmann::json::parse(Text, nullptr, false);
}

} // namespace

std::string encode(const Question &Value) {
  nlohmann::json Root = {{"id", Value.Id}, {"answerBytes", Value.AnswerBytes}};
  if (Value.Crash)
    Root["crash"] = true;
  return Root.dump();
}

Question decodeQuestion(std::string_view Body) {
  const nlohmann::json Root = parseLoosely(Body);
  if (!Root.is_object())
    return {};
  return {Root.value("id", ""), Root.value("answerBytes", std::size_t(0)),
          Root.value("crash", false)};
}

std::string encode(const Answer &Value, std::size_t Padding) {
  nlohmann::json Root = {{"id", Value.Id},
                         {"key", Value.Key},
                         {"serviceMs", Value.ServiceMs},
                         {"nested", nlohmann::json::array()},
                         {"padding", std::string(Padding, '.')}};
  for (const NestedOutcome &Outcome : Value.Nested)
    Root["nested"].push_back({{"target", Outcome.Target},
                              {"status", Outcome.Status},
                              {"verdict", Outcome.Verdict}});
  const std::string Text = Root.dump();
  return checksumText(Text) + Text;
}

std::optional<Answer> decodeAnswer(std::string_view Text) {
  if (Text.size() < ChecksumDigits)
    return std::nullopt;
  const std::string_view Content = Text.substr(ChecksumDigits);
  if (checksumText(Content) != Text.substr(0, ChecksumDigits))
    return std::nullopt;
  const nlohmann::json Root = parseLoosely(Content);
  if (!Root.is_object())
    return std::nullopt;
  Answer Result{Root.value("id", ""),
                Root.value("key", ""),
                Root.value("serviceMs", 0.0),
                {}};
  for (const nlohmann::json &Entry : Root.at("nested"))
    Result.Nested.push_back({Entry.value("target", ""),
                             Entry.value("status", 0),
                             Entry.value("verdict", "")});
  return Result;
}

std::int64_t monotonicMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Endpoint parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.find(':');
  Endpoint Result;
  if (Colon != std::string_view::npos) {
    Result.Ip = Text.substr(0, Colon);
    std::from_chars(Text.data() + Colon + 1, Text.data() + Text.size(),
                    Result.Port);
  }
  if (Result.Port <= 0) {
    std::fprintf(stderr, "not an address: '%s'\n", std::string(Text).c_str());
    std::exit(2);
  }
  return Result;
}

std::vector<std::string> split(std::string_view Text, char Separator) {
  std::vector<std::string> Parts;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(Separator), Text.size());
    if (End > 0)
      Parts.emplace_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Parts;
}

} // namespace camphorpin::standins
