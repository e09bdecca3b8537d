#ifndef FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONGENERATOR_H_
#define FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONGENERATOR_H_

#include <boost/leaf/result.hpp>

#include "libconfig/configuration.h"

namespace fireflytrestle {

struct Questionnaire;

/// Returns the configuration described by \p answers, with the revision after
/// that of \p base (null for the first configuration).
///
/// Objects that \p base contains keep their ids: zones and services are matched
/// by name, targets by service, zone and agent address. Other objects get ids
/// that no earlier revision used. Zones that are out in \p base stay out. The
/// same arguments give the same result.
///
/// Fails with ErrorCode::kInvalidConfiguration and a std::vector<Fault>.
boost::leaf::result<Configuration> GenerateConfiguration(
    const Questionnaire& answers,
    const Configuration* base);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_CONFIGURATIONGENERATOR_H_
