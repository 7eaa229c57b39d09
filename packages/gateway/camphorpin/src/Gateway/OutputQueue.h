#ifndef CAMPHORPIN_SRC_GATEWAY_OUTPUTQUEUE_H
#define CAMPHORPIN_SRC_GATEWAY_OUTPUTQUEUE_H

#include <boost/asio/buffer.hpp>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

namespace camphorpin::detail {

/// \class OutputQueue
/// \brief Bytes that wait to be written to a connection, in pieces that are not
/// copied again.
class OutputQueue {
public:
  /// \returns the bytes that have not been written.
  std::size_t size() const { return Bytes; }
  bool empty() const { return Bytes == 0; }

  /// Appends \p Piece. It is joined to the piece before if both are small and
  /// that one is not being written.
  void push(std::string Piece);

  /// \returns the first bytes of the queue, for one write. They stay valid
  /// until consume().
  std::vector<boost::asio::const_buffer> front();

  /// Removes \p Count bytes that the latest write has taken.
  void consume(std::size_t Count);

private:
  std::deque<std::string> Pieces;
  std::size_t Bytes = 0;
  /// Bytes of the first piece that have been written.
  std::size_t Offset = 0;
  /// Pieces that are being written.
  std::size_t Writing = 0;
};

} // namespace camphorpin::detail

#endif
