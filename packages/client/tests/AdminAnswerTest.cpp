// Guards operators against answers of a node that break the protocol or break
// off: camphorctl must not show them as the state of the node.
#include "BrokenAnswers.h"
#include "ScriptedServer.h"
#include "camphorpin/src/Client/HttpAdminClient.h"

#include <criterion/criterion.h>
#include <span>
#include <string>
#include <string_view>

using namespace camphorpin;
using namespace camphorpin::test;

namespace {

std::optional<AdminReply> fetch(const ScriptedAnswer &Given) {
  ScriptedServer Node([&Given](std::string_view) { return Given; });
  HttpAdminClient Client(*HostAddress::parse(Node.address()),
                         Duration::seconds(1));
  return Client.fetch("/status");
}

/// Expects that nothing counts as an answer, whether its connection then stays
/// open or ends.
void expectNoAnswer(std::span<const NamedAnswer> Answers) {
  for (const NamedAnswer &Item : Answers)
    for (const AfterAnswer Then : {AfterAnswer::KeepOpen, AfterAnswer::Close})
      cr_expect_not(fetch({Item.Bytes, Then}), "%s", Item.Name.c_str());
}

} // namespace

Test(AdminAnswer, malformedAnswersAreNotShown) {
  expectNoAnswer(impossibleStatuses(""));
  expectNoAnswer(malformedHeads(""));
  expectNoAnswer(doubtfulLengths(""));
  expectNoAnswer(malformedChunks(""));
}

Test(AdminAnswer, answerThatEndsWithAResetIsNotShown) {
  cr_assert_not(fetch({"HTTP/1.1 200 OK\r\n\r\none", AfterAnswer::Reset}));
}

Test(AdminAnswer, wholeAnswersAreShown) {
  for (const NamedAnswer &Item : allowedForms("")) {
    const std::optional<AdminReply> Reply = fetch({Item.Bytes});
    cr_expect(Reply && Reply->Status == 200 && Reply->Body == "one", "%s",
              Item.Name.c_str());
  }
  cr_expect(fetch({"HTTP/1.1 200 OK\r\n\r\none", AfterAnswer::CloseThenReset}));
}
