#include "camphorpin/src/Gateway/NodeDirectory.h"

#include "camphorpin/src/Daemon/JsonNumbers.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorpin {

namespace {

/// Records of nodes have a few hundred bytes.
constexpr std::size_t MaxRecordBytes = 4096;

/// \returns the text in \p Field, or an empty text if there is none.
std::string textIn(const nlohmann::json &Object, const char *Field) {
  const auto Found = Object.find(Field);
  if (Found == Object.end() || !Found->is_string())
    return {};
  return Found->get<std::string>();
}

} // namespace

std::string NodeRecord::toJson() const {
  const nlohmann::json Json = {
      {"node", Node}, {"address", Address.toString()}, {"service", Service},
      {"zone", Zone}, {"incarnation", Incarnation},    {"departed", Departed}};
  return Json.dump();
}

std::optional<NodeRecord> NodeRecord::parse(std::string_view Text) {
  if (Text.size() > MaxRecordBytes)
    return std::nullopt;
  const nlohmann::json Json =
      nlohmann::json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Json.is_object())
    return std::nullopt;
  NodeRecord Result;
  Result.Node = textIn(Json, "node");
  Result.Service = textIn(Json, "service");
  Result.Zone = textIn(Json, "zone");
  const std::optional<HostAddress> Address =
      HostAddress::parse(textIn(Json, "address"));
  if (!isValidName(Result.Node) || !isValidName(Result.Service) ||
      !isValidName(Result.Zone) || !Address || Address->Ip == 0 ||
      Address->Port == 0)
    return std::nullopt;
  Result.Address = *Address;
  const auto Incarnation = Json.find("incarnation");
  const auto Departed = Json.find("departed");
  if (Incarnation == Json.end() || Departed == Json.end() ||
      !Departed->is_boolean())
    return std::nullopt;
  const std::optional<std::uint64_t> Number =
      detail::wholeNumber(*Incarnation, MaxIncarnation);
  if (!Number)
    return std::nullopt;
  Result.Incarnation = *Number;
  Result.Departed = Departed->get<bool>();
  return Result;
}

std::size_t NodeDirectory::bucketOf(std::string_view Node) {
  return stableHash(Node) % std::tuple_size_v<BucketDigests>;
}

void NodeDirectory::toggleDigest(const NodeRecord &Record) {
  const std::uint64_t Hash = stableHash(Record.toJson());
  Digest ^= Hash;
  Buckets[bucketOf(Record.Node)] ^= static_cast<std::uint32_t>(Hash);
}

bool NodeRecord::supersedes(const NodeRecord &Other) const {
  return Incarnation > Other.Incarnation ||
         (Incarnation == Other.Incarnation && Departed && !Other.Departed);
}

bool NodeDirectory::add(const NodeRecord &Record) {
  const auto Found = Nodes.find(Record.Node);
  if (Found != Nodes.end()) {
    const NodeRecord &Known = Found->second;
    if (!Record.supersedes(Known))
      return false;
    toggleDigest(Known);
  }
  toggleDigest(Record);
  Nodes[Record.Node] = Record;
  return true;
}

std::vector<const NodeRecord *> NodeDirectory::recordsInDifferingBuckets(
    std::span<const std::uint32_t> Known) const {
  const bool Comparable = Known.size() == Buckets.size();
  std::vector<const NodeRecord *> Result;
  for (const auto &[Name, Record] : Nodes) {
    const std::size_t Bucket = bucketOf(Name);
    if (!Comparable || Known[Bucket] != Buckets[Bucket])
      Result.push_back(&Record);
  }
  return Result;
}

std::vector<const NodeRecord *>
NodeDirectory::nodesOf(std::string_view Service) const {
  std::vector<const NodeRecord *> Result;
  for (const auto &[Name, Record] : Nodes)
    if (!Record.Departed && Record.Service == Service)
      Result.push_back(&Record);
  return Result;
}

std::size_t NodeDirectory::presentCount() const {
  return static_cast<std::size_t>(
      std::count_if(Nodes.begin(), Nodes.end(),
                    [](const auto &Entry) { return !Entry.second.Departed; }));
}

} // namespace camphorpin
