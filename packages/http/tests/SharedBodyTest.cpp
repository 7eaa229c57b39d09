// Guards against bodies that lose or reorder bytes between blocks, and against
// bytes that a budget counts after the last holder of a body is gone.
#include "camphorpin/src/Http/SharedBody.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace camphorpin;

namespace {

std::string joined(const SharedBody &Body) {
  std::string Result;
  for (std::string_view Rest = Body.blockAt(0); !Rest.empty();
       Rest = Body.blockAt(Result.size()))
    Result.append(Rest);
  return Result;
}

} // namespace

Test(SharedBody, keepsBytesOfAnyPieces) {
  cr_assert(rc::check([] {
    SharedBody Body;
    std::string Expected;
    const auto Sizes = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, 90000));
    for (const std::size_t Size : Sizes) {
      std::string Piece(Size, static_cast<char>('a' + Expected.size() % 26));
      Body.append(Piece);
      Expected += Piece;
    }
    RC_ASSERT(Body.size() == Expected.size());
    RC_ASSERT(Body.text() == Expected);
    RC_ASSERT(joined(Body) == Expected);
    RC_ASSERT(SharedBody(Expected).text() == Expected);
  }));
}

Test(SharedBody, countsBytesUntilTheLastCopyIsGone) {
  const auto Budget = std::make_shared<ByteBudget>(1000000);
  SharedBody Copy;
  {
    SharedBody Body(Budget);
    cr_assert(Body.reserve(500000));
    cr_assert_not(Body.reserve(1000000));
    Body.append("bytes");
    Copy = Body;
    cr_assert_eq(Body.uncountedBytes(), 0U);
  }
  cr_assert_eq(Budget->used(), 500000U);
  cr_assert_eq(Copy.text(), std::string("bytes"));
  Copy = SharedBody();
  cr_assert_eq(Budget->used(), 0U);
  cr_assert_eq(SharedBody(std::string("bytes")).uncountedBytes(), 5U);
}

// Guards against a shared text that is copied, or freed before its last holder.
Test(SharedBody, sharesATextUntilTheLastCopyIsGone) {
  auto Text = std::make_shared<const std::string>(200000, 'x');
  const std::weak_ptr<const std::string> Watched = Text;
  const char *Start = Text->data();
  SharedBody Copy = SharedBody::sharing(std::move(Text));
  cr_assert_eq(Copy.size(), 200000U);
  cr_assert_eq(Copy.blocks().front().data(), Start);
  cr_assert_eq(Copy.blockAt(5).data(), Start + 5);
  cr_assert_eq(joined(Copy), std::string(200000, 'x'));
  cr_assert_not(Watched.expired());
  Copy = SharedBody();
  cr_assert(Watched.expired());
}
