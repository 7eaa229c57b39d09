#include "camphorpin/src/Gateway/RouteTable.h"

#include <algorithm>
#include <cctype>

namespace camphorpin {

namespace {

std::string lowerCase(std::string_view Text) {
  std::string Result(Text);
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char C) { return std::tolower(C); });
  return Result;
}

} // namespace

void RouteTable::assign(const std::vector<RouteRule> &Routes) {
  Hosts.clear();
  for (const RouteRule &Route : Routes)
    Hosts[lowerCase(Route.Host)].push_back(
        std::make_shared<const RouteRule>(Route));
  for (auto &[Host, Entries] : Hosts)
    std::stable_sort(Entries.begin(), Entries.end(),
                     [](const std::shared_ptr<const RouteRule> &A,
                        const std::shared_ptr<const RouteRule> &B) {
                       return A->PathPrefix.size() > B->PathPrefix.size();
                     });
}

std::shared_ptr<const RouteRule>
RouteTable::match(std::string_view Host, std::string_view Target) const {
  const std::string_view Name = Host.substr(0, Host.find(':'));
  const std::string_view Path = Target.substr(0, Target.find_first_of("?#"));
  const auto Found = Hosts.find(lowerCase(Name));
  if (Found == Hosts.end())
    return nullptr;
  for (const std::shared_ptr<const RouteRule> &Route : Found->second)
    if (Path.starts_with(Route->PathPrefix))
      return Route;
  return nullptr;
}

} // namespace camphorpin
