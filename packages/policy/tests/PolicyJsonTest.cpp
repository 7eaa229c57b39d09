// Guards the validation of operators' documents: an error that is not detected
// here would take effect on every node.
#include "camphorpin/Policy.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphorpin;

namespace {

constexpr std::string_view MeshText = R"({
  "ranks": [ { "name": "urgent", "floor": 0.02 }, // most urgent first
             { "name": "lookup", "floor": 0.01, "cap": 0.8 } ],
  "callerShares": { "cooperative": 2 } })";

constexpr std::string_view OrdersText = R"({
  "service": "orders", "slots": 100, "connections": 700, "queueLimit": 200,
  "operations": {
    "pay":  { "rank": "urgent", "idempotent": false, "deadlineMs": 3000,
              "calls": ["lots/reserve"] },
    "status": { "rank": "lookup", "idempotent": true, "deadlineMs": 1000 } } })";

MeshPolicy mesh() { return std::get<MeshPolicy>(parseMeshPolicy(MeshText)); }

ServicePolicy service(std::string_view Text) {
  return std::get<ServicePolicy>(parseServicePolicy(Text, mesh()));
}

PolicyErrors meshErrors(std::string_view Text) {
  return std::get<PolicyErrors>(parseMeshPolicy(Text));
}

PolicyErrors serviceErrors(std::string_view Text) {
  return std::get<PolicyErrors>(parseServicePolicy(Text, mesh()));
}

bool hasError(const PolicyErrors &Errors, PolicyFault Fault,
              std::string_view Path) {
  for (const PolicyError &Error : Errors)
    if (Error.Fault == Fault && Error.Path == Path)
      return true;
  return false;
}

/// \param Next the index of the called service; -1 for none.
ServicePolicy serviceInChain(int Index, int Next, std::int64_t DeadlineMs) {
  ServicePolicy Policy;
  Policy.Service = ServiceName("s" + std::to_string(Index));
  OperationPolicy &Run = Policy.Operations[OperationName("run")];
  Run.Deadline = Duration::millis(DeadlineMs);
  if (Next >= 0)
    Run.Calls.push_back(
        {ServiceName("s" + std::to_string(Next)), OperationName("run")});
  return Policy;
}

} // namespace

Test(PolicyJson, canonicalTextRoundTripsAndIgnoresFieldOrder) {
  const std::string Text = toJson(mesh());
  cr_assert_eq(Text, toJson(std::get<MeshPolicy>(parseMeshPolicy(Text))));
  cr_assert_eq(mesh().CallerShares.at(CallerName("cooperative")), 2);
  const ServicePolicy Orders = service(OrdersText);
  cr_assert_eq(Orders.Operations.at(OperationName("status")).Rank.index(), 1);
  const std::string Canonical = toJson(Orders, mesh());
  cr_assert_eq(Canonical, toJson(service(Canonical), mesh()));
  // Keys are sorted, so the alphabetically first one follows the brace.
  cr_assert_eq(Canonical.find("\"cancelLowerRanks\":false"), 1);
}

// If each attempt reported a single error, an operator would need many attempts
// to fix a document during an incident.
Test(PolicyJson, reportsAllErrorsOfADocumentAtOnce) {
  const PolicyErrors Errors = serviceErrors(R"({
    "service": "or ders", "slots": 0, "connections": "many", "typo": 1,
    "operations": {
      "pay": { "rank": "top", "idempotent": 1, "deadlineMs": 1e300,
               "calls": ["lots", "lots/reserve/now"] },
      "b d": { "rank": "urgent", "idempotent": true, "deadlineMs":
               18446744073709551615 } } })");
  cr_assert(hasError(Errors, PolicyFault::OutOfRange, "service"));
  cr_assert(hasError(Errors, PolicyFault::OutOfRange, "slots"));
  cr_assert(hasError(Errors, PolicyFault::WrongType, "connections"));
  cr_assert(hasError(Errors, PolicyFault::UnknownField, "typo"));
  cr_assert(hasError(Errors, PolicyFault::UnknownName, "operations.pay.rank"));
  cr_assert(
      hasError(Errors, PolicyFault::WrongType, "operations.pay.idempotent"));
  cr_assert(
      hasError(Errors, PolicyFault::WrongType, "operations.pay.deadlineMs"));
  cr_assert(
      hasError(Errors, PolicyFault::OutOfRange, "operations.pay.calls[0]"));
  cr_assert(
      hasError(Errors, PolicyFault::OutOfRange, "operations.pay.calls[1]"));
  cr_assert(hasError(Errors, PolicyFault::OutOfRange, "operations.b d"));
  cr_assert(
      hasError(Errors, PolicyFault::OutOfRange, "operations.b d.deadlineMs"));
  cr_assert_eq(Errors.size(), 11);
}

Test(PolicyJson, errorStatesPathValueAndAllowedRange) {
  const PolicyErrors Errors =
      meshErrors(R"({"ranks": [{"name": "a", "floor": 2}]})");
  cr_assert_eq(toString(Errors), std::string("ranks[0].floor is 2, allowed is "
                                             "a share from 0 to 1\n"));
}

Test(PolicyJson, malformedDocumentsAreRejected) {
  cr_assert(hasError(meshErrors("{"), PolicyFault::Syntax, ""));
  cr_assert(hasError(meshErrors(""), PolicyFault::Syntax, ""));
  cr_assert(hasError(meshErrors("[]"), PolicyFault::WrongType, ""));
  cr_assert(hasError(meshErrors("{}"), PolicyFault::MissingField, "ranks"));
  const std::string Deep(100000, '[');
  cr_assert(hasError(meshErrors(Deep), PolicyFault::Syntax, ""));
  // The JSON parser silently keeps the last of two duplicate fields.
  cr_assert(hasError(meshErrors(R"({"ranks": [{"name": "a"}],
                                    "maxHops": 3, "maxHops": 60})"),
                     PolicyFault::UnknownField, "maxHops"));
}

Test(PolicyCheck, rejectsInconsistentRankShares) {
  const PolicyErrors Errors = meshErrors(R"({"ranks": [
      {"name": "a", "floor": 0.5, "cap": 0.4}, {"name": "a", "floor": 0.6},
      {"name": "c", "cap": 0}]})");
  cr_assert(hasError(Errors, PolicyFault::Inconsistent, "ranks[0].floor"));
  cr_assert(hasError(Errors, PolicyFault::Inconsistent, "ranks[1].name"));
  cr_assert(hasError(Errors, PolicyFault::Inconsistent, "ranks[2].cap"));
  cr_assert(hasError(Errors, PolicyFault::Inconsistent, "ranks"));
  MeshPolicy Many;
  for (int Index = 0; Index < 9; ++Index)
    Many.Ranks.push_back({"r" + std::to_string(Index), 0, 1});
  cr_assert(
      hasError(checkMeshPolicy(Many), PolicyFault::Inconsistent, "ranks"));
  // Floors that sum to exactly 1 are accepted.
  Many.Ranks.resize(8);
  for (RankPolicy &Rank : Many.Ranks)
    Rank.Floor = 0.125;
  cr_assert(checkMeshPolicy(Many).empty());
}

Test(PolicyCheck, checksCallGraphAcrossDocuments) {
  MeshPolicy Mesh = mesh();
  Mesh.MaxHops = 3;
  // A call to an operation that no document defines.
  const std::vector<ServicePolicy> Unknown = {serviceInChain(0, 1, 1000)};
  cr_assert(hasError(checkPolicies(Mesh, Unknown), PolicyFault::UnknownName,
                     "operations.run.calls[0]"));
  // A chain of three calls, as many as are allowed.
  std::vector<ServicePolicy> Chain = {serviceInChain(0, 1, 1000),
                                      serviceInChain(1, 2, 900),
                                      serviceInChain(2, -1, 900)};
  cr_assert(checkPolicies(Mesh, Chain).empty());
  // One call more than allowed.
  Chain[2] = serviceInChain(2, 3, 900);
  Chain.push_back(serviceInChain(3, -1, 900));
  const PolicyErrors TooLong = checkPolicies(Mesh, Chain);
  cr_assert_eq(TooLong.size(), 1);
  cr_assert_eq(TooLong[0].Found, std::string("a chain of 4 calls"));
  // A cycle, and a callee with a longer deadline than its caller.
  Chain[3] = serviceInChain(3, 1, 901);
  const PolicyErrors Cyclic = checkPolicies(Mesh, Chain);
  cr_assert(
      hasError(Cyclic, PolicyFault::Inconsistent, "operations.run.calls"));
  cr_assert(
      hasError(Cyclic, PolicyFault::Inconsistent, "operations.run.calls[0]"),
      "a callee's deadline above its caller's must be reported");
}

// Guards against crashes and hangs on arbitrary input: the parser must return
// errors, or a policy whose canonical text round-trips.
Test(PolicyJson, parserHandlesRandomlyEditedDocuments) {
  cr_assert(rc::check("randomly edited documents", [] {
    std::string Text(OrdersText);
    const int EditCount = *rc::gen::inRange(1, 4);
    for (int Count = 0; Count < EditCount; ++Count) {
      const std::size_t At = *rc::gen::inRange<std::size_t>(0, Text.size());
      const std::size_t Length = *rc::gen::inRange<std::size_t>(0, 12);
      Text.replace(At, Length, *rc::gen::arbitrary<std::string>());
    }
    const std::variant<ServicePolicy, PolicyErrors> Parsed =
        parseServicePolicy(Text, mesh());
    if (std::holds_alternative<PolicyErrors>(Parsed)) {
      RC_ASSERT(!std::get<PolicyErrors>(Parsed).empty());
      RC_ASSERT(!toString(std::get<PolicyErrors>(Parsed)).empty());
      return;
    }
    const std::string Canonical =
        toJson(std::get<ServicePolicy>(Parsed), mesh());
    RC_ASSERT(toJson(service(Canonical), mesh()) == Canonical);
  }));
}
