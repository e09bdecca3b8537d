#ifndef FIREFLYTRESTLE_LIBCONFIG_QUESTIONNAIREREADER_H_
#define FIREFLYTRESTLE_LIBCONFIG_QUESTIONNAIREREADER_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>

#include "libconfig/questionnaire.h"

namespace fireflytrestle {

/// Decodes and checks a questionnaire (YAML). \p file is the file name that
/// faults state. Fails with ErrorCode::kInvalidConfiguration or kTooLarge
/// (above one megabyte) and a std::vector<Fault> with all faults; the source of
/// each consists of file, line and question.
boost::leaf::result<Questionnaire> ReadQuestionnaire(const std::string& file,
                                                     std::string_view text);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBCONFIG_QUESTIONNAIREREADER_H_
