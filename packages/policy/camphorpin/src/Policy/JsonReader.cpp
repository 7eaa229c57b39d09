#include "camphorpin/src/Policy/JsonReader.h"

#include "camphorpin/Core.h"

#include <utility>
#include <vector>

namespace camphorpin::detail {

namespace {

/// Maximum length of the offending value in an error message.
constexpr std::size_t MaxFoundLength = 60;
/// Maximum nesting depth of a document. Serializing a value recurses, so the
/// depth must be bounded.
constexpr int MaxDepth = 16;

std::string describe(const nlohmann::json *Found) {
  if (Found == nullptr)
    return "missing";
  std::string Text =
      Found->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (Text.size() > MaxFoundLength)
    Text = Text.substr(0, MaxFoundLength) + "...";
  return Text;
}

/// \class StructureChecker
/// \brief Parser callback that reports duplicate fields, of which the JSON
/// parser would silently keep the last, and excessive nesting.
class StructureChecker {
public:
  explicit StructureChecker(PolicyErrors &Errors) : Errors(Errors) {}

  bool onEvent(int Depth, nlohmann::json::parse_event_t Event,
               const nlohmann::json &Value) {
    using Kind = nlohmann::json::parse_event_t;
    if (Event == Kind::object_start)
      KeysOfOpenObjects.emplace_back();
    if (Event == Kind::object_end && !KeysOfOpenObjects.empty())
      KeysOfOpenObjects.pop_back();
    if (Event == Kind::key)
      onKey(Value);
    const bool TooDeep = Depth > MaxDepth;
    if (TooDeep && !ReportedDepth)
      Errors.push_back({PolicyFault::Syntax, "", "", "nested too deeply",
                        "at most " + std::to_string(MaxDepth) + " levels"});
    ReportedDepth |= TooDeep;
    return !TooDeep;
  }

private:
  void onKey(const nlohmann::json &Value) {
    const bool Inserted = KeysOfOpenObjects.back().insert(Value).second;
    if (!Inserted)
      Errors.push_back({PolicyFault::UnknownField, "", Value, "given twice",
                        "one value for each field"});
  }

  PolicyErrors &Errors;
  std::vector<std::set<std::string>> KeysOfOpenObjects;
  bool ReportedDepth = false;
};

} // namespace

nlohmann::json parseJson(std::string_view Text, PolicyErrors &Errors) {
  StructureChecker Checker(Errors);
  const nlohmann::json::parser_callback_t Callback =
      [&Checker](int Depth, nlohmann::json::parse_event_t Event,
                 nlohmann::json &Value) {
        return Checker.onEvent(Depth, Event, Value);
      };
  try {
    return nlohmann::json::parse(Text, Callback, true,
                                 /*ignore_comments=*/true);
  } catch (const nlohmann::json::parse_error &Error) {
    Errors.push_back(
        {PolicyFault::Syntax, "", "", Error.what(), "JSON with comments"});
    return nlohmann::json::value_t::discarded;
  }
}

JsonReader::JsonReader(const nlohmann::json &Value, std::string Path,
                       PolicyErrors &Errors)
    : Value(Value), Path(std::move(Path)), Errors(Errors) {
  if (!Value.is_object())
    Errors.push_back({PolicyFault::WrongType, "", this->Path, describe(&Value),
                      "a JSON object"});
}

const nlohmann::json *JsonReader::find(std::string_view Field, bool Required) {
  KnownFields.emplace(Field);
  if (!Value.is_object())
    return nullptr;
  const auto Found = Value.find(Field);
  if (Found != Value.end())
    return &*Found;
  if (Required)
    report(PolicyFault::MissingField, Field, nullptr,
           "a value, because the field is required");
  return nullptr;
}

std::optional<std::int64_t> JsonReader::integer(std::string_view Field,
                                                std::int64_t Min,
                                                std::int64_t Max,
                                                bool Required) {
  const nlohmann::json *Found = find(Field, Required);
  if (Found == nullptr)
    return std::nullopt;
  const std::string Allowed =
      "an integer from " + std::to_string(Min) + " to " + std::to_string(Max);
  if (!Found->is_number_integer()) {
    report(PolicyFault::WrongType, Field, Found, Allowed);
    return std::nullopt;
  }
  // A number above the range of int64 is stored as unsigned and would wrap.
  const bool TooLarge =
      Found->is_number_unsigned() &&
      Found->get<std::uint64_t>() > static_cast<std::uint64_t>(Max);
  if (TooLarge || Found->get<std::int64_t>() < Min ||
      Found->get<std::int64_t>() > Max) {
    report(PolicyFault::OutOfRange, Field, Found, Allowed);
    return std::nullopt;
  }
  return Found->get<std::int64_t>();
}

std::optional<double> JsonReader::share(std::string_view Field, bool Required) {
  const nlohmann::json *Found = find(Field, Required);
  if (Found == nullptr)
    return std::nullopt;
  constexpr std::string_view Allowed = "a share from 0 to 1";
  if (!Found->is_number()) {
    report(PolicyFault::WrongType, Field, Found, std::string(Allowed));
    return std::nullopt;
  }
  const double Share = Found->get<double>();
  if (!(Share >= 0 && Share <= 1)) {
    report(PolicyFault::OutOfRange, Field, Found, std::string(Allowed));
    return std::nullopt;
  }
  return Share;
}

std::optional<bool> JsonReader::boolean(std::string_view Field, bool Required) {
  const nlohmann::json *Found = find(Field, Required);
  if (Found == nullptr)
    return std::nullopt;
  if (!Found->is_boolean()) {
    report(PolicyFault::WrongType, Field, Found, "true or false");
    return std::nullopt;
  }
  return Found->get<bool>();
}

std::optional<std::string> JsonReader::name(std::string_view Field,
                                            bool Required) {
  const nlohmann::json *Found = find(Field, Required);
  if (Found == nullptr)
    return std::nullopt;
  constexpr std::string_view Allowed =
      "a name of 1 to 64 characters out of [a-zA-Z0-9._-]";
  if (!Found->is_string()) {
    report(PolicyFault::WrongType, Field, Found, std::string(Allowed));
    return std::nullopt;
  }
  const std::string &Text = Found->get_ref<const std::string &>();
  if (!isValidName(Text)) {
    report(PolicyFault::OutOfRange, Field, Found, std::string(Allowed));
    return std::nullopt;
  }
  return Text;
}

void JsonReader::reportUnknownFields() {
  if (!Value.is_object())
    return;
  std::string Known;
  for (const std::string &Field : KnownFields)
    Known += (Known.empty() ? "" : ", ") + Field;
  for (const auto &Entry : Value.items())
    if (!KnownFields.contains(Entry.key()))
      report(PolicyFault::UnknownField, Entry.key(), &Entry.value(),
             "one of the fields " + Known);
}

std::string JsonReader::pathOf(std::string_view Field) const {
  std::string Result = Path;
  if (!Result.empty())
    Result += '.';
  Result += Field;
  return Result;
}

void JsonReader::report(PolicyFault Fault, std::string_view Field,
                        const nlohmann::json *Found, std::string Allowed) {
  Errors.push_back(
      {Fault, "", pathOf(Field), describe(Found), std::move(Allowed)});
}

} // namespace camphorpin::detail
