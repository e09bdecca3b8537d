#include "libagent/requestledger.h"

namespace fireflytrestle {

RequestLedger::Entry RequestLedger::Find(std::uint32_t sequence) const {
  if (sequence < m_lowest) {
    return Entry::kFinished;
  }
  return IsInWindow(sequence) ? EntryOf(At(sequence)) : Entry::kBeyondWindow;
}

RefusalReason RequestLedger::RefusalOf(std::uint32_t sequence) const {
  return RefusalReason(At(sequence) >> 4U);
}

bool RequestLedger::AdvanceTo(std::uint32_t sequence) {
  while (sequence >= m_lowest && !IsInWindow(sequence)) {
    const Entry lowest = EntryOf(At(m_lowest));
    if (lowest == Entry::kNew || lowest == Entry::kActive) {
      return false;
    }
    Advance();
  }
  return IsInWindow(sequence);
}

void RequestLedger::MarkRefused(std::uint32_t sequence, RefusalReason reason) {
  Set(sequence, Entry::kRefused, reason);
}

void RequestLedger::MarkFinished(std::uint32_t sequence) {
  Set(sequence, Entry::kFinished);
  while (EntryOf(At(m_lowest)) == Entry::kFinished) {
    Advance();
  }
}

void RequestLedger::Set(std::uint32_t sequence,
                        Entry entry,
                        RefusalReason reason) {
  if (IsInWindow(sequence)) {
    At(sequence) = static_cast<Record>(static_cast<unsigned>(entry) |
                                       static_cast<unsigned>(reason) << 4U);
  }
}

void RequestLedger::Advance() {
  At(m_lowest) = Record{};
  ++m_lowest;
}

}  // namespace fireflytrestle
