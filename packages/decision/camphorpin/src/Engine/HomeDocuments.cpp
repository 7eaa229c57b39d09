#include "camphorpin/src/Engine/HomeDocuments.h"

#include <nlohmann/json.hpp>

namespace camphorpin::detail {

std::string homeSetChange(const ServiceName &Service, const ProcessId &Author,
                          const HomeSet &Next) {
  const std::string Content = Next.toJson();
  const std::string Origin =
      Author.Address.toString() + "." + std::to_string(Author.Incarnation);
  nlohmann::json Record;
  Record["type"] = "change";
  Record["document"] = "homes/" + Service.string();
  Record["base"] = Next.epoch() - 1;
  Record["changeId"] = std::to_string(stableHash(Content + Origin));
  Record["author"] = Origin;
  Record["content"] = nlohmann::json::parse(Content);
  return Record.dump();
}

} // namespace camphorpin::detail
