#include "camphorpin/src/Gateway/NodeDirectory.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorpin {

std::string NodeRecord::toJson() const {
  const nlohmann::json Json = {
      {"node", Node}, {"address", Address.toString()}, {"service", Service},
      {"zone", Zone}, {"incarnation", Incarnation},    {"departed", Departed}};
  return Json.dump();
}

std::optional<NodeRecord> NodeRecord::parse(std::string_view Text) {
  const nlohmann::json Json =
      nlohmann::json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Json.is_object())
    return std::nullopt;
  try {
    NodeRecord Result;
    Result.Node = Json.at("node").get<std::string>();
    Result.Service = Json.at("service").get<std::string>();
    Result.Zone = Json.at("zone").get<std::string>();
    Result.Incarnation = Json.at("incarnation").get<std::uint64_t>();
    Result.Departed = Json.at("departed").get<bool>();
    const std::optional<HostAddress> Address =
        HostAddress::parse(Json.at("address").get<std::string>());
    if (!Address)
      return std::nullopt;
    Result.Address = *Address;
    return Result;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

std::size_t NodeDirectory::bucketOf(std::string_view Node) {
  return stableHash(Node) % std::tuple_size_v<BucketDigests>;
}

void NodeDirectory::toggleDigest(const NodeRecord &Record) {
  const std::uint64_t Hash = stableHash(Record.toJson());
  Digest ^= Hash;
  Buckets[bucketOf(Record.Node)] ^= static_cast<std::uint32_t>(Hash);
}

bool NodeDirectory::add(const NodeRecord &Record) {
  const auto Found = Nodes.find(Record.Node);
  if (Found != Nodes.end()) {
    const NodeRecord &Known = Found->second;
    const bool Newer = Record.Incarnation > Known.Incarnation ||
                       (Record.Incarnation == Known.Incarnation &&
                        Record.Departed && !Known.Departed);
    if (!Newer)
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
