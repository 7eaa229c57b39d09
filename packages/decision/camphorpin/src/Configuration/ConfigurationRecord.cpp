#include "camphorpin/src/Configuration/ConfigurationRecord.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace camphorpin {

namespace {

/// Deeper records are rejected, because serializing the content recurses.
constexpr int MaxDepth = 32;
constexpr std::size_t MaxAuthorBytes = 256;

constexpr std::string_view ChangeType = "change";
constexpr std::string_view RestateType = "restate";
constexpr std::string_view EntryType = "entry";

std::optional<nlohmann::json> parseBounded(std::string_view Body) {
  if (Body.size() > MaxRecordBytes)
    return std::nullopt;
  bool TooDeep = false;
  const nlohmann::json::parser_callback_t Callback =
      [&TooDeep](int Depth, nlohmann::json::parse_event_t, nlohmann::json &) {
        TooDeep |= Depth > MaxDepth;
        return !TooDeep;
      };
  nlohmann::json Root = nlohmann::json::parse(Body, Callback, false);
  if (TooDeep || !Root.is_object())
    return std::nullopt;
  return Root;
}

std::optional<std::uint64_t> number(const nlohmann::json &Root,
                                    std::string_view Field) {
  const auto Found = Root.find(Field);
  if (Found == Root.end() || !Found->is_number_unsigned())
    return std::nullopt;
  return Found->get<std::uint64_t>();
}

std::optional<std::string> text(const nlohmann::json &Root,
                                std::string_view Field) {
  const auto Found = Root.find(Field);
  if (Found == Root.end() || !Found->is_string())
    return std::nullopt;
  return Found->get<std::string>();
}

std::optional<std::string> validName(const nlohmann::json &Root,
                                     std::string_view Field) {
  std::optional<std::string> Value = text(Root, Field);
  if (!Value || !isValidName(*Value))
    return std::nullopt;
  return Value;
}

/// \returns the name of the document, empty if it is missing or malformed.
DocumentName documentName(const nlohmann::json &Root) {
  const std::optional<std::string> Value = text(Root, "document");
  if (!Value || !isValidName(*Value, /*AllowSlash=*/true))
    return DocumentName();
  return DocumentName(*Value);
}

std::optional<std::string> content(const nlohmann::json &Root,
                                   const DocumentName &Document) {
  const auto Found = Root.find("content");
  if (Found == Root.end() || !Found->is_object())
    return std::nullopt;
  std::string Canonical = Found->dump();
  if (Canonical.size() > maxContentBytes(Document))
    return std::nullopt;
  return Canonical;
}

std::optional<ConfigurationRecord> parseChange(const nlohmann::json &Root) {
  const DocumentName Document = documentName(Root);
  const std::optional<std::uint64_t> Base = number(Root, "base");
  std::optional<std::string> ChangeId = validName(Root, "changeId");
  std::optional<std::string> Author = text(Root, "author");
  std::optional<std::string> Content = content(Root, Document);
  if (Document.empty() || !Base || !ChangeId || !Author || !Content ||
      Author->size() > MaxAuthorBytes)
    return std::nullopt;
  return ChangeRecord{Document, *Base, std::move(*ChangeId), std::move(*Author),
                      std::move(*Content)};
}

std::optional<std::vector<std::string>> changeIds(const nlohmann::json &Root) {
  const auto Found = Root.find("changeIds");
  if (Found == Root.end() || !Found->is_array() || Found->size() > MaxChangeIds)
    return std::nullopt;
  std::vector<std::string> Ids;
  for (const nlohmann::json &Entry : *Found) {
    if (!Entry.is_string() ||
        !isValidName(Entry.get_ref<const std::string &>()))
      return std::nullopt;
    Ids.push_back(Entry.get<std::string>());
  }
  return Ids;
}

std::optional<ConfigurationRecord> parseRestate(const nlohmann::json &Root) {
  const DocumentName Document = documentName(Root);
  const std::optional<std::uint64_t> Version = number(Root, "version");
  std::optional<std::vector<std::string>> Ids = changeIds(Root);
  std::optional<std::string> Content = content(Root, Document);
  const std::optional<std::uint64_t> AsOf = number(Root, "asOf");
  const std::optional<std::uint64_t> Documents = number(Root, "documents");
  if (Document.empty() || !Version || *Version == 0 || !Ids || !Content ||
      !AsOf || !Documents || *Documents == 0)
    return std::nullopt;
  return RestateRecord{Document,        *Version,
                       std::move(*Ids), std::move(*Content),
                       *AsOf,           *Documents};
}

std::optional<ConfigurationRecord> parseEntry(const nlohmann::json &Root) {
  const std::optional<std::string> AddressText = text(Root, "address");
  const std::optional<std::uint64_t> Incarnation = number(Root, "incarnation");
  const std::optional<std::string> Zone = validName(Root, "zone");
  const std::optional<std::string> Region = validName(Root, "region");
  if (!AddressText || !Incarnation || !Zone || !Region)
    return std::nullopt;
  const std::optional<HostAddress> Address = HostAddress::parse(*AddressText);
  if (!Address)
    return std::nullopt;
  return EntryRecord{*Address, *Incarnation, ZoneName(*Zone),
                     RegionName(*Region)};
}

} // namespace

std::optional<ConfigurationRecord>
parseConfigurationRecord(std::string_view Body) {
  const std::optional<nlohmann::json> Root = parseBounded(Body);
  if (!Root)
    return std::nullopt;
  const std::optional<std::string> Type = text(*Root, "type");
  if (!Type)
    return std::nullopt;
  if (*Type == ChangeType)
    return parseChange(*Root);
  if (*Type == RestateType)
    return parseRestate(*Root);
  if (*Type == EntryType)
    return parseEntry(*Root);
  return UnknownRecord{};
}

std::string formatRecord(const ChangeRecord &Record) {
  return nlohmann::json({{"type", ChangeType},
                         {"document", Record.Document.string()},
                         {"base", Record.Base},
                         {"changeId", Record.ChangeId},
                         {"author", Record.Author},
                         {"content", nlohmann::json::parse(Record.Content)}})
      .dump();
}

std::string formatRecord(const RestateRecord &Record) {
  return nlohmann::json({{"type", RestateType},
                         {"document", Record.Document.string()},
                         {"version", Record.Version},
                         {"changeIds", Record.ChangeIds},
                         {"asOf", Record.AsOf},
                         {"documents", Record.Documents},
                         {"content", nlohmann::json::parse(Record.Content)}})
      .dump();
}

std::string formatRecord(const EntryRecord &Record) {
  return nlohmann::json({{"type", EntryType},
                         {"address", Record.Address.toString()},
                         {"incarnation", Record.Incarnation},
                         {"zone", Record.Zone.string()},
                         {"region", Record.Region.string()}})
      .dump();
}

std::size_t maxContentBytes(const DocumentName &Document) {
  return Document.view().starts_with("homes/") ? MaxHomesBytes : MaxPolicyBytes;
}

std::string deriveChangeId(const DocumentName &Document, std::uint64_t Base,
                           std::string_view Content) {
  constexpr std::string_view HexDigits = "0123456789abcdef";
  constexpr unsigned HashBits = 64;
  // The separator cannot occur in a document name.
  const std::string Material = Document.string() + "\n" + std::to_string(Base) +
                               "\n" + std::string(Content);
  std::string Id;
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    const std::uint64_t Hash = stableHash(Material, Seed);
    for (unsigned Shift = 0; Shift < HashBits; Shift += 4)
      Id.push_back(HexDigits[(Hash >> Shift) & 0xFU]);
  }
  return Id;
}

} // namespace camphorpin
