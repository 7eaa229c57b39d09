#include "camphorpin/src/Configuration/ChangeBuffer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorpin {

std::optional<std::uint64_t> ChangeBuffer::add(std::uint64_t Offset,
                                               ChangeRecord Change) {
  Bytes += bytesOf(Change);
  Changes.push_back({Offset, std::move(Change)});
  std::optional<std::uint64_t> LastEvictedOffset;
  while (Changes.size() > MaxChanges || Bytes > MaxBytes) {
    LastEvictedOffset = Changes.front().Offset;
    Bytes -= bytesOf(Changes.front().Change);
    Changes.pop_front();
  }
  return LastEvictedOffset;
}

std::vector<BufferedChange> ChangeBuffer::take(const DocumentName &Document) {
  const auto Split =
      std::stable_partition(Changes.begin(), Changes.end(),
                            [&Document](const BufferedChange &Candidate) {
                              return Candidate.Change.Document != Document;
                            });
  std::vector<BufferedChange> Taken(std::make_move_iterator(Split),
                                    std::make_move_iterator(Changes.end()));
  Changes.erase(Split, Changes.end());
  for (const BufferedChange &Buffered : Taken)
    Bytes -= bytesOf(Buffered.Change);
  return Taken;
}

std::vector<BufferedChange> ChangeBuffer::takeAll() {
  std::vector<BufferedChange> Taken(std::make_move_iterator(Changes.begin()),
                                    std::make_move_iterator(Changes.end()));
  Changes.clear();
  Bytes = 0;
  return Taken;
}

std::size_t ChangeBuffer::bytesOf(const ChangeRecord &Change) {
  return Change.Content.size() + Change.Author.size() + Change.ChangeId.size() +
         Change.Document.view().size();
}

} // namespace camphorpin
