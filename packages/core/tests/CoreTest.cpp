// Tests the basic types: identifiers on which nodes of different builds must
// agree, and parsers of external input.
#include "camphorpin/Core.h"

#include <criterion/criterion.h>
#include <memory>

using namespace camphorpin;

Test(RequestKey, roundTripsAndPreservesCreationTime) {
  SeededRandom Source(7);
  const RequestKey Key =
      RequestKey::make(Instant::fromMillis(1780000000123), Source);
  const std::optional<RequestKey> Parsed = RequestKey::parse(Key.toString());
  cr_assert(Parsed.has_value());
  cr_assert(*Parsed == Key);
  cr_assert_eq(Key.createdAt().wholeMillis(), 1780000000123);
}

Test(RequestKey, rejectsTextThatIsNotUuidVersion7) {
  cr_assert_not(RequestKey::parse(""));
  // Version 4, another variant, a digit that is not hexadecimal, and a digit in
  // place of a dash.
  cr_assert_not(RequestKey::parse("9b2d0f5c-8c1f-4b6e-9f3a-0123456789ab"));
  cr_assert_not(RequestKey::parse("018f0f5c-8c1f-7b6e-0f3a-0123456789ab"));
  cr_assert_not(RequestKey::parse("018f0f5c-8c1f-7b6e-9f3a-0123456789ag"));
  cr_assert_not(RequestKey::parse("018f0f5c08c1f-7b6e-9f3a-0123456789ab"));
  cr_assert(
      RequestKey::parse("018F0F5C-8C1F-7B6E-9F3A-0123456789AB").has_value());
}

// A retried parent call must derive the same keys for its nested calls;
// otherwise a non-idempotent nested call runs twice.
Test(RequestKey, childKeysAreDeterministicAndDistinct) {
  SeededRandom Source(7);
  const RequestKey Key = RequestKey::make(Instant::fromMillis(1000), Source);
  const RequestKey Child = Key.child("lots/reserve", "0");
  cr_assert(Child == Key.child("lots/reserve", "0"));
  cr_assert(Child != Key.child("lots/reserve", "1"));
  cr_assert(Child != Key.child("lots/release", "0"));
  cr_assert_eq(Child.createdAt().wholeMillis(), 1000);
  cr_assert(RequestKey::parse(Child.toString()).has_value());
}

Test(HostAddress, roundTripsAndRejectsMalformedText) {
  const std::optional<HostAddress> Address =
      HostAddress::parse("127.0.0.2:7001");
  cr_assert(Address.has_value());
  cr_assert_eq(Address->toString(), std::string("127.0.0.2:7001"));
  for (std::string_view Text :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.256:1", "1.2.3:4",
        "1.2.3.4:70000", "1.2.3.4:5x", "-1.2.3.4:5", "1..3.4:5"})
    cr_assert_not(HostAddress::parse(Text).has_value());
}

// Verdicts and reasons arrive in headers: a name that does not parse back would
// lose the promise that a request has not run.
Test(Verdict, namesOfVerdictsAndReasonsParseBack) {
  for (Verdict Value : {Verdict::Ran, Verdict::NotRun, Verdict::MayHaveRun})
    cr_assert(parseVerdict(toString(Value)) == Value);
  cr_assert_not(parseVerdict("maybe").has_value());
  cr_assert(parseRefusalReason("node-busy") == RefusalReason::NodeBusy);
  cr_assert(parseRefusalReason("shed") == RefusalReason::Shed);
}

// A failed push must leave the element with the caller, and a closed queue must
// still give out what it holds.
Test(BoundedQueue, rejectsPushWhenFullAndPreservesOrder) {
  BoundedQueue<std::unique_ptr<int>> Ring(2);
  cr_assert(Ring.push(std::make_unique<int>(1)));
  cr_assert(Ring.push(std::make_unique<int>(2)));
  std::unique_ptr<int> Third = std::make_unique<int>(3);
  cr_assert_not(Ring.push(std::move(Third)));
  cr_assert(Third != nullptr, "a failed push must not move from its argument");
  cr_assert_eq(**Ring.tryPop(), 1);
  Ring.close();
  cr_assert_not(Ring.push(std::make_unique<int>(4)));
  cr_assert_eq(**Ring.pop(Duration::millis(1)), 2);
  cr_assert_not(Ring.pop(Duration::millis(1)).has_value());
}

Test(StateChart, followsTransitionsAndRejectsUnknownStates) {
  const StateChart Chart = StateChart::embedded(
      R"({ "initial": "alive", // comment
           "states": ["alive", "suspect"],
           "transitions": [{"from": "alive", "on": "missed",
                            "to": "suspect"}] })");
  const StateChart::State Suspect = Chart.next(Chart.initial(), "missed");
  cr_assert_eq(Chart.name(Suspect), std::string_view("suspect"));
  cr_assert_eq(Chart.next(Suspect, "missed"), Suspect);
  cr_assert(std::holds_alternative<StateChartError>(StateChart::parse(
      R"({"initial": "x", "states": [], "transitions": []})")));
  cr_assert(std::holds_alternative<StateChartError>(StateChart::parse("{")));
}
