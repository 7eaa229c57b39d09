#ifndef CAMPHORPIN_SRC_HTTP_SHAREDBODY_H
#define CAMPHORPIN_SRC_HTTP_SHAREDBODY_H

#include "camphorpin/src/Http/ByteBudget.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace camphorpin {

/// \class SharedBody
/// \brief The body of a message, in blocks that all copies share.
///
/// A body is held by the connection that receives it, by the request that may
/// have to be repeated, and by each connection that passes it on. Its memory
/// does not depend on the number of holders, and it never moves while it grows.
class SharedBody {
public:
  SharedBody() = default;
  /// A body of one block.
  SharedBody(std::string Text);
  /// An empty body whose bytes are counted in \p Budget until its last copy is
  /// gone. \p Budget may be null.
  explicit SharedBody(std::shared_ptr<ByteBudget> Budget);

  /// \returns a body that shares \p Text and can't grow.
  static SharedBody sharing(std::shared_ptr<const std::string> Text);

  /// Reserves room for \p Bytes in total.
  /// \returns false if the budget does not allow it.
  bool reserve(std::size_t Bytes);

  /// \returns the bytes if no budget counts them, otherwise 0.
  std::size_t uncountedBytes() const {
    return Data && Data->Held.limited() ? 0 : size();
  }

  /// Appends \p Bytes. The body must not have been copied, or share a text.
  void append(std::string_view Bytes);

  std::size_t size() const { return Data ? Data->Bytes : 0; }
  bool empty() const { return size() == 0; }

  /// \returns views of the blocks, in order. They are valid as long as a copy
  /// of the body exists.
  std::vector<std::string_view> blocks() const;

  /// \returns a view of the bytes from \p Offset to the end of their block;
  /// empty at the end of the body.
  std::string_view blockAt(std::size_t Offset) const;

  /// \returns the bytes in one piece.
  std::string text() const;

  friend bool operator==(const SharedBody &Body, std::string_view Text) {
    return Body.text() == Text;
  }

private:
  /// What the C library adds to a block: its length, and the end of a string.
  static constexpr std::size_t AllocatorBytes = 64;
  /// Size of all blocks but the last. A block fills whole pages.
  static constexpr std::size_t BlockBytes =
      (std::size_t(64) << 10U) - AllocatorBytes;

  /// Appends an empty block.
  void addBlock();

  struct Blocks {
    explicit Blocks(std::shared_ptr<ByteBudget> Budget)
        : Held(std::move(Budget)) {}
    std::vector<std::string> Items;
    /// The only block, in place of Items; may be null.
    std::shared_ptr<const std::string> Shared;
    std::size_t Bytes = 0;
    BudgetShare Held;
  };

  std::shared_ptr<Blocks> Data;
};

namespace detail {

/// \class SharedHttpBody
/// \brief Lets the HTTP parser fill a SharedBody.
struct SharedHttpBody {
  using value_type = SharedBody;

  static std::uint64_t size(const value_type &Body) { return Body.size(); }

  class Reader {
  public:
    template <bool IsRequest, typename Fields>
    Reader(boost::beast::http::header<IsRequest, Fields> &, value_type &Body)
        : Body(Body) {}

    void init(const boost::optional<std::uint64_t> &,
              boost::beast::error_code &Error) {
      Error = {};
    }

    template <typename Buffers>
    std::size_t put(const Buffers &Parts, boost::beast::error_code &Error) {
      Error = {};
      std::size_t Bytes = 0;
      for (const boost::asio::const_buffer Part :
           boost::beast::buffers_range_ref(Parts)) {
        Body.append({static_cast<const char *>(Part.data()), Part.size()});
        Bytes += Part.size();
      }
      return Bytes;
    }

    void finish(boost::beast::error_code &Error) { Error = {}; }

  private:
    value_type &Body;
  };

  using reader = Reader;
};

} // namespace detail

} // namespace camphorpin

#endif
