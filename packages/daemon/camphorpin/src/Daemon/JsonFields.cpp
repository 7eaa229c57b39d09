#include "camphorpin/src/Daemon/JsonFields.h"

#include <cassert>
#include <utility>

namespace camphorpin {

JsonFields::JsonFields(const nlohmann::json &Object, std::string Path,
                       std::vector<SettingsError> &Errors)
    : Object(Object), Path(std::move(Path)), Errors(Errors) {
  assert(Object.is_object() && "fields are read from an object");
}

JsonFields::~JsonFields() {
  for (const auto &Entry : Object.items())
    if (Known.count(Entry.key()) == 0)
      report(Entry.key().c_str(), "unknown field");
}

std::optional<HostAddress> JsonFields::address(const char *Field,
                                               bool Required) {
  const nlohmann::json *Value = find(Field, Required);
  if (Value == nullptr)
    return std::nullopt;
  std::optional<HostAddress> Address;
  if (Value->is_string())
    Address = HostAddress::parse(Value->get_ref<const std::string &>());
  if (!Address || Address->Port == 0) {
    report(Field, "must be an address such as \"127.0.0.1:7000\"");
    return std::nullopt;
  }
  return Address;
}

std::string JsonFields::name(const char *Field, bool Required) {
  const nlohmann::json *Value = find(Field, Required);
  if (Value == nullptr)
    return {};
  if (!Value->is_string() ||
      !isValidName(Value->get_ref<const std::string &>())) {
    report(Field, "must be a name of 1 to 64 characters out of [a-zA-Z0-9._-]");
    return {};
  }
  return Value->get<std::string>();
}

std::string JsonFields::text(const char *Field) {
  const nlohmann::json *Value = find(Field, false);
  if (Value == nullptr)
    return {};
  if (!Value->is_string()) {
    report(Field, "must be a string");
    return {};
  }
  return Value->get<std::string>();
}

std::uint64_t JsonFields::number(const char *Field, std::uint64_t Min,
                                 std::uint64_t Max, std::uint64_t Default) {
  const nlohmann::json *Value = find(Field, false);
  if (Value == nullptr)
    return Default;
  const bool IsCount = Value->is_number_unsigned();
  if (!IsCount || Value->get<std::uint64_t>() < Min ||
      Value->get<std::uint64_t>() > Max) {
    report(Field, "must be a whole number from " + std::to_string(Min) +
                      " to " + std::to_string(Max));
    return Default;
  }
  return Value->get<std::uint64_t>();
}

bool JsonFields::flag(const char *Field, bool Default) {
  const nlohmann::json *Value = find(Field, false);
  if (Value == nullptr)
    return Default;
  if (!Value->is_boolean()) {
    report(Field, "must be true or false");
    return Default;
  }
  return Value->get<bool>();
}

const nlohmann::json *JsonFields::object(const char *Field) {
  const nlohmann::json *Value = find(Field, false);
  if (Value == nullptr || Value->is_object())
    return Value;
  report(Field, "must be an object");
  return nullptr;
}

const nlohmann::json *JsonFields::list(const char *Field) {
  const nlohmann::json *Value = find(Field, false);
  if (Value == nullptr || Value->is_array())
    return Value;
  report(Field, "must be a list");
  return nullptr;
}

void JsonFields::report(const char *Field, std::string_view Message) {
  Errors.push_back({path(Field), std::string(Message)});
}

std::string JsonFields::path(const char *Field) const {
  return Path.empty() ? Field : Path + "." + Field;
}

const nlohmann::json *JsonFields::find(const char *Field, bool Required) {
  Known.insert(Field);
  const auto Found = Object.find(Field);
  if (Found != Object.end())
    return &*Found;
  if (Required)
    report(Field, "is required");
  return nullptr;
}

} // namespace camphorpin
