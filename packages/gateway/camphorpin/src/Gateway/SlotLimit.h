#ifndef CAMPHORPIN_SRC_GATEWAY_SLOTLIMIT_H
#define CAMPHORPIN_SRC_GATEWAY_SLOTLIMIT_H

#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \class SlotLimit
/// \brief Finds the number of concurrent runs that maximizes the throughput of
/// a backend server.
///
/// Some backend servers slow down once nearly all of their slots are in use, so
/// that leaving a few slots empty increases the throughput. Whether and at
/// which level this happens is not reported, so it is measured. While all
/// allowed slots are in use, the limit alternates between the best known level
/// and a trial level, and each window of the trial level is compared with the
/// windows before and after it. If the windows before and after differ much
/// from each other, something else has changed, and the comparison is
/// discarded.
class SlotLimit {
public:
  /// \brief The measurement window in which a run started.
  struct WindowTag {
    /// 0 if the run is not a sample, because fewer runs than allowed were
    /// active when it started.
    std::uint64_t Window = 0;
  };

  SlotLimit();

  /// \param Value the slots of the backend server, at least 1.
  void setSlots(std::uint32_t Value);

  /// Discards all measurements.
  void reset();

  /// \returns the number of concurrent runs currently allowed; at least 1.
  std::uint32_t value() const {
    return limitAt(InTrialWindow ? TrialLevel : Level);
  }

  /// A run starts.
  /// \param Running the number of runs, including this one.
  WindowTag onStart(std::size_t Running) const;

  /// A run has ended with an answer.
  /// \param Slowdown its duration relative to the long-term mean of its route.
  void onFinished(WindowTag Started, double Slowdown);

private:
  static constexpr int Levels = 4;

  /// \returns the number of concurrent runs that a level allows.
  std::uint32_t limitAt(int Index) const;
  /// \returns true if the level allows a number of runs that differs from that
  /// of the best known level and that of the level above it.
  bool isNewLimit(int Index) const;
  /// Evaluates the current window and starts the next one.
  void closeWindow();
  /// Compares the trial window with the throughputs of the windows before and
  /// after it.
  void recordComparison(double Before, double After);
  /// Adopts the trial level, ends the trial or continues it.
  void evaluateTrial();
  void endTrial();
  /// Starts the next trial of the round, or ends the round if there is none.
  void beginTrial();

  std::uint32_t Slots = 1;
  /// Index of the best known level; 0 allows all slots.
  int Level = 0;
  /// The level under trial; equal to Level if no trial is in progress.
  int TrialLevel = 0;
  /// The level of the next trial.
  int NextLevel = 0;
  /// The current window belongs to the trial level.
  bool InTrialWindow = false;
  std::uint64_t Window = 1;
  std::uint32_t Samples = 0;
  double SlowdownSum = 0;
  /// Throughput in the last window of the best known level and of the trial
  /// level.
  double BaseThroughput = 0;
  double TrialThroughput = 0;
  /// Number of comparisons in this trial, and the sum of the log gains.
  int Comparisons = 0;
  double GainSum = 0;
  /// Windows of the best known level until the next round of trials.
  int WindowsUntilTrial = 0;
  /// Windows between two rounds; doubles as long as no level is adopted.
  int TrialInterval;
};

} // namespace camphorpin

#endif
