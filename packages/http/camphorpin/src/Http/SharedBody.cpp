#include "camphorpin/src/Http/SharedBody.h"

#include <algorithm>
#include <cassert>

namespace camphorpin {

SharedBody::SharedBody(std::string Text) {
  if (Text.empty())
    return;
  if (Text.size() > BlockBytes) {
    append(Text);
    return;
  }
  Data = std::make_shared<Blocks>(nullptr);
  Data->Bytes = Text.size();
  Data->Items.push_back(std::move(Text));
}

SharedBody::SharedBody(std::shared_ptr<ByteBudget> Budget)
    : Data(std::make_shared<Blocks>(std::move(Budget))) {}

SharedBody SharedBody::sharing(std::shared_ptr<const std::string> Text) {
  SharedBody Result;
  Result.Data = std::make_shared<Blocks>(nullptr);
  Result.Data->Bytes = Text->size();
  Result.Data->Shared = std::move(Text);
  return Result;
}

bool SharedBody::reserve(std::size_t Bytes) {
  if (!Data)
    return true;
  return Data->Held.resize(Bytes);
}

void SharedBody::append(std::string_view Bytes) {
  if (!Data)
    Data = std::make_shared<Blocks>(nullptr);
  assert(Data.use_count() == 1 && !Data->Shared &&
         "a body grows before it is shared");
  Data->Bytes += Bytes.size();
  while (!Bytes.empty()) {
    if (Data->Items.empty() || Data->Items.back().size() == BlockBytes)
      addBlock();
    std::string &Last = Data->Items.back();
    const std::size_t Count = std::min(Bytes.size(), BlockBytes - Last.size());
    Last.append(Bytes.substr(0, Count));
    Bytes.remove_prefix(Count);
  }
}

void SharedBody::addBlock() {
  Data->Items.emplace_back();
  // Many bodies are smaller than a block.
  if (Data->Items.size() > 1)
    Data->Items.back().reserve(BlockBytes);
}

std::vector<std::string_view> SharedBody::blocks() const {
  std::vector<std::string_view> Result;
  if (Data && Data->Shared)
    Result.emplace_back(*Data->Shared);
  else if (Data)
    Result.assign(Data->Items.begin(), Data->Items.end());
  return Result;
}

std::string_view SharedBody::blockAt(std::size_t Offset) const {
  if (Offset >= size())
    return {};
  if (Data->Shared)
    return std::string_view(*Data->Shared).substr(Offset);
  const std::string_view Block = Data->Items[Offset / BlockBytes];
  return Block.substr(Offset % BlockBytes);
}

std::string SharedBody::text() const {
  std::string Result;
  Result.reserve(size());
  for (const std::string_view Block : blocks())
    Result.append(Block);
  return Result;
}

} // namespace camphorpin
