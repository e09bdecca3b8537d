#ifndef FIREFLYTRESTLE_LIBNET_STOREREADER_H_
#define FIREFLYTRESTLE_LIBNET_STOREREADER_H_

#include <QTimer>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libbase/seededrandom.h"
#include "libsite/changerelay.h"
#include "libsite/sitestate.h"
#include "libsite/storefollower.h"

namespace fireflytrestle {

class Clock;
class Logger;
class MetricsWriter;
class StoreClient;

/// \brief Reads parts of the store and watches them for changes, on the event
/// loop of the control thread, and publishes the site's view whenever it
/// changes.
class StoreReader {
 public:
  struct Callbacks {
    /// Called when the view has changed.
    std::function<void(std::shared_ptr<const SiteView>)> changed;
    /// Called when the view has been confirmed: at the given time or later it
    /// matched all parts of the store.
    std::function<void(TimePoint)> confirmed;
  };

  /// How this process shares its reads of the store with other processes.
  struct Sharing {
    Incarnation self{};
    std::function<void(const std::vector<SocketAddress>& peers,
                       const SharedChanges& changes)>
        send;
  };

  /// All pointers and references must outlive the reader.
  StoreReader(const std::vector<std::string>& prefixes,
              Sharing sharing,
              StoreClient* client,
              const RecordDecoder& decoder,
              const Clock& clock,
              Logger* logger,
              Callbacks callbacks);

  void Start();

  /// Adds a process, announced by a third one, as a peer to share reads with.
  void OnIntroduced(const SocketAddress& peer);
  /// Applies changes that \p peer has read from the store.
  void OnSharedChanges(const SocketAddress& peer, const SharedChanges& changes);

  bool has_configuration() const { return m_state.has_configuration(); }
  void WriteMetrics(MetricsWriter* metrics) const;

 private:
  /// A part of the store, and the processes with which it is shared.
  struct Part {
    StoreFollower follower;
    ChangeRelay relay;
  };

  void Tick();
  void Read(Part* part);
  void OnAnswer(Part* part, std::uint64_t number, const StoreAnswer& answer);
  void LogChange(const SiteChange& change);
  /// Decides whether this process reads the part itself, and sends a heartbeat
  /// to the peers if one is due.
  void Share(Part* part);
  void SendChanges(Part* part, Revision after, const StoreAnswer& answer);
  /// Calls Callbacks::confirmed with the time of the oldest contact, if the
  /// view of every part is current.
  void Confirm();
  bool IsCurrent() const;

  StoreClient* m_client;
  const Clock& m_clock;
  Logger* m_logger;
  Callbacks m_callbacks;
  SeededRandom m_random;
  SiteState m_state;
  Sharing m_sharing;
  std::vector<std::unique_ptr<Part>> m_parts;
  std::uint64_t m_reads = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_unreadable_items = 0;
  bool m_reached = false;
  QTimer m_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_STOREREADER_H_
