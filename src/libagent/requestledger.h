#ifndef FIREFLYTRESTLE_LIBAGENT_REQUESTLEDGER_H_
#define FIREFLYTRESTLE_LIBAGENT_REQUESTLEDGER_H_

#include <array>
#include <cstdint>

#include "libwire/refusalreason.h"

namespace fireflytrestle {

/// \brief Records the state of the request sequence numbers of one flow, so
/// that no request is accepted twice.
///
/// Covers a window of 32 sequence numbers; all numbers below it count as
/// finished. A number leaves the window only after its request was refused, was
/// finished or had an unknown outcome, so that it can no longer be started. A
/// feed counts as finished once it is sent to the upstream.
class RequestLedger {
 public:
  static constexpr std::uint32_t kWindow = 32;

  enum class Entry : std::uint8_t {
    kNew,
    /// Accepted: queued, running, or responded to and not acknowledged yet.
    kActive,
    kRefused,
    kUnknown,
    kFinished,
    /// Above the window: neither accepted nor refused.
    kBeyondWindow,
  };

  Entry Find(std::uint32_t sequence) const;

  /// Reason with which request \p sequence was refused.
  RefusalReason RefusalOf(std::uint32_t sequence) const;

  /// Advances the window past refused, unknown and finished requests until it
  /// contains \p sequence. Returns whether it contains it.
  bool AdvanceTo(std::uint32_t sequence);

  void MarkActive(std::uint32_t sequence) { Set(sequence, Entry::kActive); }
  void MarkRefused(std::uint32_t sequence, RefusalReason reason);
  void MarkUnknown(std::uint32_t sequence) { Set(sequence, Entry::kUnknown); }
  void MarkFinished(std::uint32_t sequence);

 private:
  /// The entry in the lower four bits and the refusal reason in the upper four.
  /// Packed into one byte because each open flow has kWindow records.
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
