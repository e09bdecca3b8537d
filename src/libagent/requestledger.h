#ifndef FIREFLYTRESTLE_LIBAGENT_REQUESTLEDGER_H_
#define FIREFLYTRESTLE_LIBAGENT_REQUESTLEDGER_H_

#include <array>
#include <cstdint>

#include "libwire/refusalreason.h"

namespace fireflytrestle {

/// \brief Remembers which request numbers of one flow were taken, so that no
/// number is taken twice.
///
/// Covers a window of 32 numbers; every number below it counts as finished.
/// Only numbers that can no longer run leave the window.
class RequestLedger {
 public:
  static constexpr std::uint32_t kWindow = 32;

  enum class Entry : std::uint8_t {
    kNew,
    /// Taken: queued, running, or answered and not acknowledged yet.
    kActive,
    kRefused,
    kUnknown,
    kFinished,
    /// Above the window: neither taken nor refused.
    kBeyondWindow,
  };

  Entry Find(std::uint32_t sequence) const;

  /// Reason that was given when \p sequence was refused.
  RefusalReason RefusalOf(std::uint32_t sequence) const;

  /// Moves the window up until it holds \p sequence, past numbers that were
  /// refused, are unknown or finished. Returns whether it holds it now.
  bool AdvanceTo(std::uint32_t sequence);

  void MarkActive(std::uint32_t sequence) { Set(sequence, Entry::kActive); }
  void MarkRefused(std::uint32_t sequence, RefusalReason reason);
  void MarkUnknown(std::uint32_t sequence) { Set(sequence, Entry::kUnknown); }
  void MarkFinished(std::uint32_t sequence);

 private:
  /// The entry in the lower four bits, the refusal reason in the upper four:
  /// every open flow has one of these records.
  using Record = std::uint8_t;

  Record& At(std::uint32_t sequence) { return m_records[sequence % kWindow]; }
  Record At(std::uint32_t sequence) const {
    return m_records[sequence % kWindow];
  }
  static Entry EntryOf(Record record) { return Entry(record & 0x0fU); }

  bool IsInWindow(std::uint32_t sequence) const {
    return sequence >= m_lowest && sequence - m_lowest < kWindow;
  }
  void Set(std::uint32_t sequence,
           Entry entry,
           RefusalReason reason = RefusalReason{});
  void Advance();

  std::uint32_t m_lowest = 1;
  std::array<Record, kWindow> m_records{};
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBAGENT_REQUESTLEDGER_H_
