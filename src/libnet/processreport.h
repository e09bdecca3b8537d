#ifndef FIREFLYTRESTLE_LIBNET_PROCESSREPORT_H_
#define FIREFLYTRESTLE_LIBNET_PROCESSREPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "libbase/clock.h"
#include "libbase/ids.h"
#include "libnet/lastchangetracker.h"
#include "libnet/processsettings.h"

namespace fireflytrestle {

class MeshDriver;
class MetricsWriter;
struct Configuration;

/// \brief Writes the part of the metrics and of the state dump that is common
/// to balancers and agents: identity, view, lease, zones and peers.
class ProcessReport {
 public:
  /// \p settings and \p mesh must outlive this object.
  ProcessReport(std::string program,
                std::string version,
                const ProcessSettings& settings,
                const MeshDriver& mesh,
                TimePoint now);

  /// Records which zones the current configuration declares out. Must be called
  /// whenever a configuration has come into effect.
  void RecordConfiguration(TimePoint now);

  /// Returns why the process is not ready to serve; empty if it is ready.
  std::string ReasonNotReady(bool stopping, TimePoint now) const;

  void WriteMetrics(bool stopping, TimePoint now, MetricsWriter* metrics) const;

  nlohmann::ordered_json State(bool stopping, TimePoint now);

  /// Returns the zone's name in the current configuration, or its id as text if
  /// the configuration does not contain the zone.
  std::string ZoneName(ZoneId zone) const;

  /// Returns the wall-clock time of the monotonic time \p time, in the form of
  /// FormatTime().
  static std::string FormatWallTime(TimePoint time, TimePoint now);

 private:
  void WriteViewMetrics(TimePoint now, MetricsWriter* metrics) const;
  void WriteMeshMetrics(MetricsWriter* metrics) const;
  nlohmann::ordered_json ViewState(TimePoint now) const;
  nlohmann::ordered_json ZoneState(TimePoint now);
  nlohmann::ordered_json PeerState(TimePoint now) const;

  std::string m_program;
  std::string m_version;
  const ProcessSettings& m_settings;
  const MeshDriver& m_mesh;
  TimePoint m_started;
  LastChangeTracker<ZoneId, bool> m_zones_out;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_PROCESSREPORT_H_
