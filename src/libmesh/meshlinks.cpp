#include "libmesh/meshlinks.h"

#include <algorithm>

#include "libmesh/balancerdirectory.h"

namespace fireflytrestle {

void MeshLinks::Maintain(const std::vector<LinkPreference>& preferences,
                         bool resumed,
                         TimePoint now,
                         std::vector<MeshAction>* actions) {
  if (resumed) {
    m_resumed_at = now;
  }
  CloseSilentLinks(now, actions);
  const std::map<SocketAddress, bool> selected =
      SelectAddresses(preferences, now);
  bool all_answered = true;
  for (const auto& [address, suspect] : selected) {
    const MeshLink* link = FindOutgoing(address);
    all_answered = all_answered && (suspect || (link && link->peer_answered));
    if (link != nullptr) {
      continue;
    }
    const LinkId id{++m_last_id};
    MeshLink& added = m_links[id];
    added.id = id;
    added.address = address;
    added.last_activity = now;
    actions->emplace_back(OpenLink{id, address});
  }
  if (!all_answered) {
    return;
  }
  std::erase_if(m_links, [&](const auto& entry) {
    const MeshLink& link = entry.second;
    const bool surplus = !link.accepted && !selected.contains(link.address);
    if (surplus) {
      actions->emplace_back(CloseLink{link.id});
    }
    return surplus;
  });
}

MeshLink& MeshLinks::Accept(TimePoint now) {
  const LinkId id{++m_last_id};
  MeshLink& link = m_links[id];
  link.id = id;
  link.accepted = true;
  link.open = true;
  link.last_activity = now;
  return link;
}

MeshLink* MeshLinks::Find(LinkId id) {
  const auto found = m_links.find(id);
  return found == m_links.end() ? nullptr : &found->second;
}

void MeshLinks::OnClosed(LinkId id, TimePoint now) {
  const auto found = m_links.find(id);
  if (found == m_links.end()) {
    return;
  }
  if (!found->second.accepted) {
    MarkSuspect(found->second.address, now);
  }
  m_links.erase(found);
}

std::optional<TimePoint> MeshLinks::OnHeartbeatAnswer(MeshLink* link,
                                                      std::uint64_t number) {
  std::optional<TimePoint> sent_at;
  while (!link->unanswered_heartbeats.empty() &&
         link->unanswered_heartbeats.front().number <= number) {
    if (link->unanswered_heartbeats.front().number == number) {
      sent_at = link->unanswered_heartbeats.front().at;
    }
    link->unanswered_heartbeats.pop_front();
  }
  if (sent_at) {
    link->peer_answered = true;
    if (!link->accepted) {
      m_suspects.erase(link->address);
    }
  }
  return sent_at;
}

void MeshLinks::OnSelfLink(const MeshLink& link,
                           std::vector<MeshAction>* actions) {
  actions->emplace_back(CloseLink{link.id});
  if (!link.accepted) {
    m_suspects[link.address] = {TimePoint::max()};
  }
  m_links.erase(link.id);
}

std::size_t MeshLinks::answered_count() const {
  return static_cast<std::size_t>(
      std::count_if(m_links.begin(), m_links.end(), [](const auto& entry) {
        return !entry.second.accepted && entry.second.peer_answered;
      }));
}

void MeshLinks::CloseSilentLinks(TimePoint now,
                                 std::vector<MeshAction>* actions) {
  const auto silent_for = [&](TimePoint since, Duration limit) {
    return now - std::max(since, m_resumed_at) >= limit;
  };
  std::erase_if(m_links, [&](const auto& entry) {
    const MeshLink& link = entry.second;
    bool silent = false;
    if (link.accepted) {
      silent = silent_for(link.last_activity, kAcceptedIdleTimeout);
    } else if (!link.open) {
      silent = silent_for(link.last_activity, kOpenTimeout);
    } else {
      silent =
          !link.unanswered_heartbeats.empty() &&
          silent_for(link.unanswered_heartbeats.front().at, kHeartbeatTimeout);
    }
    if (silent) {
      actions->emplace_back(CloseLink{link.id});
      if (!link.accepted) {
        MarkSuspect(link.address, now);
      }
    }
    return silent;
  });
}

std::map<SocketAddress, bool> MeshLinks::SelectAddresses(
    const std::vector<LinkPreference>& preferences,
    TimePoint now) const {
  std::map<SocketAddress, bool> selected;
  std::vector<std::pair<TimePoint, SocketAddress>> due;
  std::size_t attempts = 0;
  for (const LinkPreference& preference : preferences) {
    std::size_t chosen = 0;
    for (const SocketAddress& address : preference.ranked) {
      if (chosen == preference.link_count) {
        break;
      }
      if (selected.contains(address)) {
        continue;
      }
      const auto suspect = m_suspects.find(address);
      if (suspect == m_suspects.end()) {
        selected.emplace(address, false);
        ++chosen;
      } else if (FindOutgoing(address) != nullptr) {
        selected.emplace(address, true);
        ++attempts;
      } else if (suspect->second.next_try <= now) {
        due.emplace_back(suspect->second.next_try, address);
      }
    }
  }
  // Suspects that have waited longest come first, so that each is retried.
  std::sort(due.begin(), due.end());
  for (const auto& [next_try, address] : due) {
    if (attempts >= kMaxSuspectAttempts) {
      break;
    }
    attempts += selected.emplace(address, true).second ? 1 : 0;
  }
  return selected;
}

void MeshLinks::MarkSuspect(const SocketAddress& address, TimePoint now) {
  const auto [entry, first] = m_suspects.try_emplace(address);
  Suspect& suspect = entry->second;
  // A silent link may work again once it is reopened, so the first retry is
  // immediate.
  suspect.next_try = first ? now : now + kSuspectRetryInterval;
}

const MeshLink* MeshLinks::FindOutgoing(const SocketAddress& address) const {
  for (const auto& [id, link] : m_links) {
    if (!link.accepted && link.address == address) {
      return &link;
    }
  }
  return nullptr;
}

}  // namespace fireflytrestle
