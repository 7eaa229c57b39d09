#include "camphorpin/src/Gateway/OutputQueue.h"

#include <algorithm>
#include <cassert>

namespace camphorpin::detail {

namespace {

/// Largest piece that others are joined to, to save buffers and system calls.
constexpr std::size_t MaxJoinedBytes = 16384;
/// Largest number of pieces that one write takes.
constexpr std::size_t MaxPiecesPerWrite = 16;

} // namespace

void OutputQueue::push(std::string Piece) {
  if (Piece.empty())
    return;
  Bytes += Piece.size();
  const bool Joins = Pieces.size() > Writing &&
                     Pieces.back().size() + Piece.size() <= MaxJoinedBytes;
  if (Joins)
    Pieces.back() += Piece;
  else
    Pieces.push_back(std::move(Piece));
}

std::vector<boost::asio::const_buffer> OutputQueue::front() {
  std::vector<boost::asio::const_buffer> Result;
  Writing = std::min(Pieces.size(), MaxPiecesPerWrite);
  for (std::size_t Index = 0; Index < Writing; ++Index)
    Result.push_back(boost::asio::buffer(Pieces[Index]));
  if (!Result.empty())
    Result.front() += Offset;
  return Result;
}

void OutputQueue::consume(std::size_t Count) {
  assert(Count <= Bytes && "only queued bytes are written");
  Writing = 0;
  Bytes -= Count;
  Offset += Count;
  while (!Pieces.empty() && Offset >= Pieces.front().size()) {
    Offset -= Pieces.front().size();
    Pieces.pop_front();
  }
}

} // namespace camphorpin::detail
