#ifndef CAMPHORPIN_SRC_DAEMON_WAKESIGNAL_H
#define CAMPHORPIN_SRC_DAEMON_WAKESIGNAL_H

namespace camphorpin {

/// \class WakeSignal
/// \brief Wakes a thread that waits in poll() or in an event loop.
class WakeSignal {
public:
  WakeSignal();
  ~WakeSignal();
  WakeSignal(const WakeSignal &) = delete;
  WakeSignal &operator=(const WakeSignal &) = delete;

  /// Makes the descriptor readable. Thread-safe.
  void give() const;

  /// Makes the descriptor unreadable until the next signal.
  void clear() const;

  /// \returns an event counter; eight bytes are read from it at a time.
  int descriptor() const { return Descriptor; }

private:
  int Descriptor;
};

} // namespace camphorpin

#endif
