#include "camphorpin/src/Gateway/RouteTable.h"
#include "camphorpin/src/Gateway/TrafficSplit.h"

#include <cmath>
#include <criterion/criterion.h>
#include <map>

using namespace camphorpin;

namespace {

RouteRule route(std::string Name, std::string Host, std::string Prefix) {
  RouteRule Result;
  Result.Name = std::move(Name);
  Result.Host = std::move(Host);
  Result.PathPrefix = std::move(Prefix);
  Result.Shares = {{"s", 1}};
  return Result;
}

} // namespace

// Guards against routing a request to the service of a shorter prefix.
Test(RouteTable, longestPrefixOfTheHostWins) {
  RouteTable Table;
  Table.assign({route("short", "Shop.example", "/a/"),
                route("long", "shop.example", "/a/b/"),
                route("other", "other.example", "/a/b/c/")});
  cr_assert_eq(Table.match("shop.example:80", "/a/b/c?x=/a/")->Name,
               std::string("long"));
  cr_assert_eq(Table.match("SHOP.example", "/a/x")->Name, std::string("short"));
  cr_assert_null(Table.match("shop.example", "/ab/").get());
  cr_assert_null(Table.match("unknown.example", "/a/").get());
}

// Guards against short windows in which a service gets more than its weight.
Test(TrafficSplit, everyWindowMatchesTheWeights) {
  SeededRandom RandomSource(20261204);
  TrafficSplit Split(RandomSource);
  RouteRule Route = route("r", "h", "/");
  Route.Shares = {{"a", 90}, {"b", 10}};
  std::vector<std::string> Chosen;
  Chosen.reserve(1000);
  for (int Count = 0; Count < 1000; ++Count)
    Chosen.push_back(Split.next(Route));
  for (std::size_t Start = 0; Start + 100 <= Chosen.size(); Start += 7) {
    const auto First = Chosen.begin() + static_cast<std::ptrdiff_t>(Start);
    const auto Count = std::count(First, First + 100, "b");
    cr_assert_leq(std::abs(static_cast<double>(Count) - 10), 1);
  }
}

// Guards against sending requests to a service of weight zero.
Test(TrafficSplit, serviceOfWeightZeroGetsNoRequests) {
  SeededRandom RandomSource(20261204);
  TrafficSplit Split(RandomSource);
  RouteRule Route = route("r", "h", "/");
  Route.Shares = {{"a", 0}, {"b", 5}, {"c", 0}};
  for (int Count = 0; Count < 100; ++Count)
    cr_assert_eq(Split.next(Route), std::string("b"));
}
