#include "libbase/nonblockingsink.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace fireflytrestle {

NonBlockingSink::NonBlockingSink(int descriptor) : m_descriptor(descriptor) {
  const int flags = fcntl(descriptor, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
  }
}

void NonBlockingSink::sink_it_(const spdlog::details::log_msg& message) {
  if (!WritePending()) {
    ++m_dropped;
    return;
  }
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (m_dropped > 0) {
    m_pending =
        "{\"event\":\"lines_dropped\",\"count\":" + std::to_string(m_dropped) +
        "}\n";
    m_dropped = 0;
  }
  m_pending.append(line.data(), line.size());
  WritePending();
}

bool NonBlockingSink::WritePending() {
  while (!m_pending.empty()) {
    const ssize_t written =
        write(m_descriptor, m_pending.data(), m_pending.size());
    if (written <= 0) {
      return false;
    }
    m_pending.erase(0, static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace fireflytrestle
