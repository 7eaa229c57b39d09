#ifndef CAMPHORPIN_SRC_GATEWAY_SLOTLIMIT_H
#define CAMPHORPIN_SRC_GATEWAY_SLOTLIMIT_H

#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \class SlotLimit
/// \brief Finds how many runs at the same time give a backend server its
/// highest throughput.
///
/// Answers the load of a full backend server that works slower once nearly all
/// of its slots are in use: leaving a few slots empty then serves more. Whether
/// and where it does is not told, so it is measured. While all allowed slots
/// are in use, the limit alternates between the best known level and another
/// one, and each window of the other level is compared with the windows before
/// and after it. Where these two differ much, something else has changed, and
/// the comparison is dropped.
class SlotLimit {
public:
  /// \brief Under which limit a run started.
  struct WindowTag {
    /// 0 if the run tells nothing, because slots were left empty.
    std::uint64_t Window = 0;
  };

  SlotLimit();

  /// \param Value the slots of the backend server, at least 1.
  void setSlots(std::uint32_t Value);

  /// Forgets what was measured.
  void reset();

  /// \returns how many runs are allowed at present; at least 1.
  std::uint32_t value() const {
    return limitAt(InTrialWindow ? TrialLevel : Level);
  }

  /// A run starts.
  /// \param Running the runs with this one.
  WindowTag onStart(std::size_t Running) const;

  /// A run has ended with an answer.
  /// \param Slowdown its duration as a part of the usual one of its route.
  void onFinished(WindowTag Started, double Slowdown);

private:
  static constexpr int Levels = 4;

  std::uint32_t limitAt(int Index) const;
  /// \returns whether the level allows another number of runs than the best
  /// known level and than the level above it.
  bool isNewLimit(int Index) const;
  void closeWindow();
  void recordComparison(double Before, double After);
  void evaluateTrial();
  void endTrial();
  void beginTrial();

  std::uint32_t Slots = 1;
  /// Index of the best known level; 0 allows all slots.
  int Level = 0;
  /// The level that is compared with it; the same if no trial is under way.
  int TrialLevel = 0;
  /// The level of the next trial.
  int NextLevel = 0;
  /// The window in progress is one of the trial level.
  bool InTrialWindow = false;
  std::uint64_t Window = 1;
  std::uint32_t Samples = 0;
  double SlowdownSum = 0;
  /// Throughput in the last window of the best known level and in the last one
  /// of the trial level.
  double BaseThroughput = 0;
  double TrialThroughput = 0;
  /// Comparisons in this trial, and the sum of the logarithms of the gains.
  int Comparisons = 0;
  double GainSum = 0;
  /// Windows until the next trial.
  int WindowsUntilTrial = 0;
  int TrialInterval;
};

} // namespace camphorpin

#endif
