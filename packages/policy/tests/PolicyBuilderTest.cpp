// Guards against invalid policies that pass the builder: errors in single
// values must not compile, and all others must be reported by build().
#include "camphorpin/PolicyBuilder.h"

#include <criterion/criterion.h>

using namespace camphorpin;

namespace {

template <int Percent> constexpr bool shareCompiles() {
  return requires {
    typename std::bool_constant<(Share(Percent / 100.0), true)>;
  };
}

// The constructor of Share is consteval, so a share out of range does not
// compile.
static_assert(shareCompiles<50>());
static_assert(!shareCompiles<150>());
static_assert(!shareCompiles<-10>());

constexpr RankTable Ranks(RankSpec("urgent", Share(0.02)),
                          RankSpec("lookup", Share(0.01), Share(0.8)));
static_assert(Ranks.rank("lookup").index() == 1);

} // namespace

Test(PolicyBuilder, buildsDocumentsThatRoundTripThroughTheParser) {
  PolicyBuilder Builder(Ranks);
  Builder.callerShare("cooperative", 2);
  const ServiceRef Lots = Builder.service("lots", {.Slots = 130});
  const OperationRef Reserve = Builder.nonIdempotent(
      Lots, "reserve", Ranks.rank("urgent"), Duration::millis(900));
  const ServiceRef Orders = Builder.service("orders", {.Slots = 100});
  Builder.nonIdempotent(Orders, "pay", Ranks.rank("urgent"),
                        Duration::millis(3000), {Reserve});
  const std::variant<PolicySet, PolicyErrors> Built = Builder.build();
  cr_assert(std::holds_alternative<PolicySet>(Built));
  const std::string Text = toJson(std::get<PolicySet>(Built));
  const std::variant<PolicySet, PolicyErrors> Parsed = parsePolicySet(Text);
  cr_assert(std::holds_alternative<PolicySet>(Parsed));
  cr_assert_eq(toJson(std::get<PolicySet>(Parsed)), Text);
}

Test(PolicyBuilder, reportsErrorsBetweenOperations) {
  PolicyBuilder Builder(Ranks, {.MaxHops = 1});
  const ServiceRef Lots = Builder.service("lots", {});
  const OperationRef Reserve = Builder.nonIdempotent(
      Lots, "reserve", Ranks.rank("urgent"), Duration::millis(900));
  Builder.nonIdempotent(Lots, "pay", Ranks.rank("urgent"),
                        Duration::millis(500), {Reserve});
  const std::variant<PolicySet, PolicyErrors> Built = Builder.build();
  cr_assert(std::holds_alternative<PolicyErrors>(Built));
  // The callee has a longer deadline, and the chain is longer than maxHops.
  cr_assert_eq(std::get<PolicyErrors>(Built).size(), 2);
  // A duplicate definition is reported alone, without the checks between
  // operations.
  Builder.service("lots", {});
  cr_assert_eq(std::get<PolicyErrors>(Builder.build()).size(), 1);
}

Test(PolicySet, rejectsUnknownAndMismatchedDocumentNames) {
  const std::variant<PolicySet, PolicyErrors> Parsed = parsePolicySet(R"({
    "mesh": {"ranks": [{"name": "a"}]}, "other": {},
    "service/a": {"service": "b", "slots": 1, "connections": 1,
                  "operations": {}} })");
  cr_assert(std::holds_alternative<PolicyErrors>(Parsed));
  const PolicyErrors &Errors = std::get<PolicyErrors>(Parsed);
  cr_assert_eq(Errors.size(), 2);
  cr_assert_eq(Errors[0].Document, std::string("service/a"));
  cr_assert_eq(Errors[1].Path, std::string("other"));
}
